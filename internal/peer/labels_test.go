package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// Guards against a table of counters, and metrics, that grow by a name for each call of an unknown kind.
func TestCallersDoNotNameCounters(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := &Counters{}
	server := Serve(inner, served, func(_ context.Context, kind string, _ json.RawMessage) (any, error) {
		return nil, errors.Wrap(ErrUnknownKind, kind)
	})
	defer server.Close()
	client := NewClient(&Counters{})
	defer client.Close()
	for n := range 100 {
		err := client.Call(t.Context(), inner.Addr().String(), fmt.Sprintf("kind-%d", n), struct{}{}, &struct{}{})
		assert.Assert(t, errors.Is(err, ErrRemote))
	}
	assert.Equal(t, len(served.Sent()), 1)
}
