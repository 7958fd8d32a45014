package clienttest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ordinaryClients is the number of clients that keep their connections while the router stops.
const ordinaryClients = 20

// linesWith returns the lines of the program's log that contain a text.
func (p *program) linesWith(text string) (lines []string) {
	p.t.Helper()
	log, err := os.ReadFile(filepath.Join(p.Folder, p.Name+".log"))
	assert.NilError(p.t, err)
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// ordinary is clients that keep their connections while the router stops.
type ordinary struct {
	*deployment
	clients                       sync.WaitGroup
	stopped                       atomic.Bool
	served, refused, closed, lost atomic.Int64
	// addresses holds the local addresses of their connections.
	addresses sync.Map
}

// dial connects to the router, and records the address of the connection.
func (o *ordinary) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err == nil {
		o.addresses.Store(c.LocalAddr().String(), true)
	}
	return c, err
}

// run sends requests one after the other until the router has stopped. A request that a back end has received and that
// has no answer is lost.
func (o *ordinary) run() {
	client := &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DialContext: o.dial}}
	defer client.CloseIdleConnections()
	for !o.stopped.Load() {
		err := o.requestOver(client, "/pay/x", strings.NewReader("ordinary"))
		var without *noAnswer
		switch {
		case err == nil:
			o.served.Add(1)
		case !errors.As(err, &without):
			o.refused.Add(1)
		default:
			o.closed.Add(1)
			if _, ran := o.ran.Load(without.id); ran {
				o.lost.Add(1)
				o.t.Log(err)
			}
		}
		time.Sleep(observeInterval)
	}
}

// endedWithoutResponse returns the router's lines on requests of these clients that it has read and not answered.
func (o *ordinary) endedWithoutResponse() []string {
	lines := o.router.linesWith("request ended without a response")
	return slices.DeleteFunc(lines, func(line string) bool {
		_, address, _ := strings.Cut(line, " address=")
		address, _, _ = strings.Cut(address, " ")
		_, is := o.addresses.Load(address)
		return !is
	})
}

// Guards against requests of ordinary clients that a stop loses beside a crowd, and against a crowd that holds it up.
func TestRouterStopsBesideMixedCrowd(t *testing.T) {
	d := start(t, 1)
	var w crowd
	defer w.leave()
	w.mix(d)
	o := ordinary{deployment: d}
	for range ordinaryClients {
		o.clients.Go(o.run)
	}
	time.Sleep(observeInterval)
	inTime := d.router.Terminate(stopGrace)
	o.stopped.Store(true)
	o.clients.Wait()
	line := d.router.linesWith("msg=stopped ")
	t.Logf("%d served, %d refused, %d closed; %s", o.served.Load(), o.refused.Load(), o.closed.Load(), line)
	assert.Check(t, inTime && len(line) == 1, "the stop outlasts its grace")
	assert.Check(t, o.served.Load() > 0)
	assert.Equal(t, o.lost.Load(), int64(0))
	assert.Equal(t, len(o.endedWithoutResponse()), 0, "%s", o.endedWithoutResponse())
}
