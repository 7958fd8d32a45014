package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/clock"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/pushback"
	"quinceridge.example/quinceridge/internal/ratelimit"
	"quinceridge.example/quinceridge/internal/state"
)

// identified is a back end that responds to status requests with statuses, the last one from then on, and
// counts them and the other requests.
type identified struct {
	*backend
	asked, served atomic.Int32
	// closesAfter is the number of the status request at which it closes the connection; 0 for none.
	closesAfter int32
}

func startIdentified(t testing.TB, statuses ...string) *identified {
	t.Helper()
	out := &identified{}
	out.backend = startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
		for {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			response := responseTo(r.Header.Get(idHeader), "served")
			if r.URL.Path == "/status" {
				number := out.asked.Add(1)
				if number == out.closesAfter {
					return
				}
				response = statuses[min(int(number), len(statuses))-1]
			} else {
				out.served.Add(1)
			}
			_, _ = conn.Write([]byte(response))
			if strings.Contains(response, "Connection: close") {
				return
			}
		}
	})
	return out
}

func newIdentifyingPool() *Pool {
	p := NewPool(idHeader, newPushbacks(), newLimits())
	p.SetStatus(Status{Target: "/status", InstanceHeader: "Instance", Born: func(body []byte) (state.UnixMilli, error) {
		born, err := strconv.Atoi(string(body))
		return state.UnixMilli(born), err
	}})
	return p
}

func (p *Pool) do(t testing.TB, address string, born state.UnixMilli) error {
	t.Helper()
	r := request("1")
	r.Born, r.Backend = born, pushback.Backend{ID: "b"}
	_, _, err := p.Call(context.Background(), address, r, 100)
	return err
}

func TestStartIsAskedForOnceOnEachConnection(t *testing.T) {
	b, p := startIdentified(t, responseTo("", "5")), newIdentifyingPool()
	for range 3 {
		assert.NilError(t, p.do(t, b.address, 5))
	}
	assert.Equal(t, b.accepted.Load(), int32(1))
	assert.Equal(t, b.asked.Load(), int32(1))
	assert.Equal(t, b.served.Load(), int32(3))
	assert.Equal(t, p.Identified.Load(), uint64(1))
}

func TestRequestsDoNotReachOtherStart(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	last := strings.Replace(responseTo("", "5"), "Content-Length", "Connection: close\r\nContent-Length", 1)
	cases := map[string]struct {
		statuses []string
		want     error
		accepted int32
	}{
		"later start":                    {[]string{responseTo("", "6")}, ErrOtherStart, 1},
		"earlier start":                  {[]string{responseTo("", "4")}, errUnsuitable, 2},
		"earlier start on one":           {[]string{responseTo("", "4"), responseTo("", "5")}, nil, 2},
		"status rejected":                {[]string{rejected}, ErrNotIdentified, 1},
		"other instance":                 {[]string{strings.Replace(responseTo("", ""), "200 OK", "421 Misdirected Request", 1)}, ErrOtherStart, 1},
		"no start time":                  {[]string{responseTo("", "0")}, nil, 1},
		"no status request":              {[]string{strings.Replace(responseTo("", "none"), "200 OK", "404 Not Found", 1)}, nil, 1},
		"closed after the status":        {[]string{last, responseTo("", "5")}, nil, 2},
		"always closed after the status": {[]string{last}, errUnsuitable, 2},
		"damaged status":                 {[]string{responseTo("", "x")}, strconv.ErrSyntax, 1},
		"no status":                      {[]string{"Connection: close"}, ErrNotSent, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, p := startIdentified(t, c.statuses...), newIdentifyingPool()
			err := p.do(t, b.address, 5)
			assert.Equal(t, b.accepted.Load(), c.accepted)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, c.want) && errors.Is(err, ErrNotSent), "%v", err)
			assert.Equal(t, b.served.Load(), int32(0))
		})
	}
}

// Guards against a back end that gets no streams because it closes each connection after a response, and against
// streams at another start that does.
func TestBackendThatKeepsNoConnectionIsServedWhereItsStartIsExpected(t *testing.T) {
	closing := func(born string) string {
		return strings.Replace(responseTo("", born), "Content-Length", "Connection: close\r\nContent-Length", 1)
	}
	for name, c := range map[string]struct {
		statuses        []string
		want            error
		accepted, asked int32
	}{
		"intended start":                   {[]string{closing("5")}, nil, 3, 2},
		"later start":                      {[]string{closing("6")}, ErrOtherStart, 1, 1},
		"later start on the next":          {[]string{closing("5"), responseTo("", "6")}, ErrOtherStart, 2, 2},
		"earlier start, then the intended": {[]string{closing("4"), closing("5")}, nil, 3, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b, p := startIdentified(t, c.statuses...), newIdentifyingPool()
			r := request("1")
			r.Born, r.Expected, r.Backend = 5, true, pushback.Backend{ID: "b"}
			_, _, err := p.Call(context.Background(), b.address, r, 100)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			assert.Equal(t, b.served.Load() == 1, c.want == nil)
			assert.Equal(t, b.asked.Load(), c.asked)
			assert.Equal(t, b.accepted.Load(), c.accepted)
		})
	}
}

// Guards against a back end that is taken for lost because it closes a kept connection as idle.
func TestStatusRequestOnClosedConnectionIsRepeatedOnAnother(t *testing.T) {
	b, p := startIdentified(t, responseTo("", "5"), "", responseTo("", "5")), newIdentifyingPool()
	b.closesAfter = 2
	r := request("1")
	r.Born, r.Confirm, r.Backend = 5, true, pushback.Backend{ID: "b"}
	for range 2 {
		_, _, err := p.Call(context.Background(), b.address, r, 100)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.accepted.Load(), int32(2))
	assert.Equal(t, b.served.Load(), int32(2))
}

// Guards against requests that are sent, as the last ones allowed, to a back end that has just stopped.
func TestConfirmedRequestIsSentOnlyToBackendThatResponds(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	last := strings.Replace(responseTo("", "5"), "Content-Length", "Connection: close\r\nContent-Length", 1)
	cases := map[string]struct {
		statuses        []string
		born            state.UnixMilli
		accepted, asked int32
		sent            bool
	}{
		"responds, asked before":         {[]string{responseTo("", "5")}, 5, 1, 2, true},
		"responds, start does not count": {[]string{responseTo("", "5")}, 0, 1, 2, true},
		"closes after each response":     {[]string{last}, 0, 5, 4, true},
		"rejects the status":             {[]string{rejected}, 0, 1, 2, true},
		"has stopped since":              {[]string{responseTo("", "5"), ""}, 0, 1, 2, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, p := startIdentified(t, c.statuses...), newIdentifyingPool()
			r := request("1")
			r.Born, r.Confirm, r.Backend = c.born, true, pushback.Backend{ID: "b"}
			_, _, err := p.Call(context.Background(), b.address, r, 100)
			assert.NilError(t, err)
			_, _, err = p.Call(context.Background(), b.address, r, 100)
			assert.Equal(t, err == nil, c.sent, "%v", err)
			if !c.sent {
				assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
				assert.Equal(t, b.served.Load(), int32(1))
			}
			assert.Equal(t, b.asked.Load(), c.asked)
			assert.Equal(t, b.accepted.Load(), c.accepted)
		})
	}
}

func TestStatusOfSilentBackendIsBounded(t *testing.T) {
	b, p := startIdentified(t, ""), newIdentifyingPool()
	assert.Assert(t, errors.Is(p.do(t, b.address, 5), ErrNotSent))
	assert.Equal(t, b.served.Load(), int32(0))
}

// Guards against giving up a request that has patience while the status request is pending, and against sending
// it without admission.
func TestStatusOfSilentBackendIsAwaitedWithPatience(t *testing.T) {
	for name, rejection := range map[string]error{"admitted": nil, "not admitted": errors.New("another attempt runs")} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var asked, served, held atomic.Int32
			b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				for r, err := http.ReadRequest(requests); err == nil; r, err = http.ReadRequest(requests) {
					if r.URL.Path == "/status" {
						asked.Add(1)
						time.Sleep(3 * identifyTimeout)
						_, _ = conn.Write([]byte(responseTo("", "5")))
						continue
					}
					served.Add(1)
					_, _ = conn.Write([]byte(responseTo(r.Header.Get(idHeader), "served")))
				}
			})
			p, r := newIdentifyingPool(), request("1")
			r.Born, r.Backend, r.Patience = 5, pushback.Backend{ID: "b"}, 10*time.Second
			r.OnHeld = func(why Held) bool { held.Add(1); return why == Unidentified && served.Load() == 0 }
			r.Admit = func() error { return rejection }
			_, _, err := p.Call(t.Context(), b.address, r, 100)
			assert.Equal(t, asked.Load(), int32(1))
			assert.Assert(t, held.Load() > 0)
			assert.Equal(t, err == nil, rejection == nil, "%v", err)
			assert.Equal(t, served.Load() == 1, rejection == nil)
			assert.Assert(t, rejection == nil || (errors.Is(err, rejection) && errors.Is(err, ErrNotSent)), "%v", err)
		})
	}
}

func TestStartIsNotAskedForWithoutNeed(t *testing.T) {
	b, p := startIdentified(t, responseTo("", "6")), newIdentifyingPool()
	assert.NilError(t, p.do(t, b.address, 0))
	// A back end with a limit counts status requests.
	r := request("2")
	r.Born, r.Backend = 5, pushback.Backend{ID: "b"}
	r.Permit = ratelimit.Granted("b", 1, clock.Now(), time.Minute)
	_, _, err := p.Call(context.Background(), b.address, r, 100)
	assert.NilError(t, err)
	assert.Equal(t, b.asked.Load(), int32(0))
	assert.Equal(t, b.served.Load(), int32(2))
}

// Each new connection is asked: the start under the name and at the address may be another one by then.
func TestStartIsAskedForAgainOnceConnectionEnded(t *testing.T) {
	answered, broken := responseTo("1", "served"), "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 9\r\n\r\nbroken"
	for name, c := range map[string]struct {
		first string
		ends  bool
	}{"idle": {answered, true}, "in a response": {broken, true}, "without a response": {"", true}, "not at all": {answered, false}} {
		t.Run(name, func(t *testing.T) {
			var asked, served atomic.Int32
			b := startBackend(t, func(number int, conn net.Conn, requests *bufio.Reader) {
				for {
					r, err := http.ReadRequest(requests)
					switch {
					case err != nil:
						return
					case r.URL.Path == "/status":
						asked.Add(1)
						_, _ = conn.Write([]byte(responseTo("", strconv.Itoa(4+number))))
						continue
					}
					served.Add(1)
					_, _ = conn.Write([]byte(c.first))
					if c.ends && number == 1 {
						return
					}
				}
			})
			p := newIdentifyingPool()
			_ = p.do(t, b.address, 5)
			assert.Equal(t, asked.Load(), int32(1))
			time.Sleep(20 * time.Millisecond)
			err := p.do(t, b.address, 5)
			assert.Equal(t, errors.Is(err, ErrOtherStart), c.ends, "%v", err)
			assert.Equal(t, asked.Load() == 2, c.ends)
			assert.Equal(t, served.Load() == 1, c.ends)
		})
	}
}

// Guards against further attempts, and a back end that is taken for unreachable, while all that is pending is the
// status of a start that nothing speaks against.
func TestStatusOfExpectedStartIsAwaitedLikeResponse(t *testing.T) {
	t.Parallel()
	for name, expected := range map[string]bool{"expected": true, "not expected": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := startBackend(t, func(_ int, conn net.Conn, requests *bufio.Reader) {
				for r, err := http.ReadRequest(requests); err == nil; r, err = http.ReadRequest(requests) {
					if r.URL.Path == "/status" {
						time.Sleep(2 * identifyTimeout)
						_, _ = conn.Write([]byte(responseTo("", "5")))
						continue
					}
					_, _ = conn.Write([]byte(responseTo(r.Header.Get(idHeader), "served")))
				}
			})
			p, r := newIdentifyingPool(), request("1")
			r.Born, r.Expected, r.Backend, r.Patience = 5, expected, pushback.Backend{ID: "b"}, 10*time.Second
			var held atomic.Int32
			r.OnHeld = func(Held) bool { held.Add(1); return true }
			_, _, err := p.Call(t.Context(), b.address, r, 100)
			assert.NilError(t, err)
			assert.Equal(t, held.Load() == 0, expected)
		})
	}
}

// BenchmarkFirstRequest measures a request on a new connection, with and without the status request.
func BenchmarkFirstRequest(b *testing.B) {
	for name, born := range map[string]state.UnixMilli{"unidentified": 0, "identified": 5} {
		b.Run(name, func(b *testing.B) {
			server := startIdentified(b, responseTo("", "5"))
			p := newIdentifyingPool()
			for b.Loop() {
				if err := p.do(b, server.address, born); err != nil {
					b.Fatal(err)
				}
				p.closeIdle(server.address)
			}
		})
	}
}

// Guards against a start time from a response that is no HTTP, and against a status that only seems to say that there is no
// status request.
func TestMalformedStatusIsNotUsed(t *testing.T) {
	sound := responseTo("", "5")
	for name, status := range map[string]string{
		"blank in a name":         strings.Replace(sound, "Content-Length", "X Foo: 1\r\nContent-Length", 1),
		"blank behind a name":     strings.Replace(sound, "Content-Length", "X-Foo : 1\r\nContent-Length", 1),
		"status 999":              strings.Replace(sound, "200 OK", "999 None", 1),
		"status 000 and a status": "HTTP/1.1 000 None\r\n\r\n" + sound,
		"HTTP/2.0":                strings.Replace(sound, "HTTP/1.1", "HTTP/2.0", 1),
	} {
		t.Run(name, func(t *testing.T) {
			b, p := startIdentified(t, status), newIdentifyingPool()
			err := p.do(t, b.address, 5)
			assert.Assert(t, errors.Is(err, ErrNotSent) && errors.Is(err, httpwire.ErrMalformed), "%v", err)
			assert.Equal(t, b.served.Load(), int32(0))
			assert.Equal(t, p.Malformed.Load(), uint64(1))
		})
	}
}
