package edge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against one client that stops in a body, and one that opens a connection for checks, that take a stop's end.
func TestStopEndsBesideUnfinishedBodyAndOpenConnectionForChecks(t *testing.T) {
	s := newSilenceTrial(t, &deployment{stopGrace: 2 * stopGraceTime}, 1, 2, 8)
	checks, err := net.Dial("tcp", s.routers[0].settings.Readiness)
	assert.NilError(t, err)
	defer checks.Close()
	caller, err := net.Dial("tcp", s.routers[0].settings.Listen)
	assert.NilError(t, err)
	defer caller.Close()
	_, err = fmt.Fprintf(caller, "POST /pay/ HTTP/1.1\r\nHost: h\r\n%s: id\r\nAuthorization: Bearer ka\r\nContent-Length: 100\r\n\r\npart", names.RequestID)
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	s.routers[0].Stop()
	assert.Assert(t, s.lines.about("msg=stopped part=edge cut=true ended=true") != "" || s.lines.about("msg=stopped part=edge cut=false ended=true") != "", s.lines.about("msg=stopped"))
}
