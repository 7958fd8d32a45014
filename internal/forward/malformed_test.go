package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// respondText responds with a text and closes the connection's sending side, or keeps it open. Names and the ID of the
// request are filled in.
func respondText(text string, keep bool) respondRaw {
	return func(c *net.TCPConn, unread io.Reader, request string) {
		_, _ = io.Copy(io.Discard, unread)
		_, _ = io.WriteString(c, filled(text, request))
		if keep {
			_, _ = c.Read(make([]byte, 1))
		}
	}
}

// filled fills in names and the ID of a request.
func filled(text, request string) string {
	return strings.NewReplacer("{id}", names.RequestID+": "+request, "{seal}", names.Signature+": seal").Replace(text)
}

// malformedResponses are responses that are no HTTP, all but for one thing signed successes.
var malformedResponses = map[string]string{
	"status 000":                 "HTTP/1.1 000 None\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"status 000, a sound one":    "HTTP/1.1 000 None\r\n\r\n" + soundText,
	"status 050, a sound one":    "HTTP/1.1 050 None\r\n\r\n" + soundText,
	"status 101, a sound one":    "HTTP/1.1 101 Switching Protocols\r\n\r\n" + soundText,
	"interim name with a blank":  "HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\n" + soundText,
	"other's name with a blank":  "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n" + soundText,
	"status 600":                 "HTTP/1.1 600 None\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"status 999":                 "HTTP/1.1 999 None\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"blank in the first name":    "HTTP/1.1 200 OK\r\nX Foo: 1\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"blank in the last name":     "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\nX Foo: 1\r\n\r\nbad!",
	"blank behind a name":        "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nX-Foo : 1\r\nContent-Length: 4\r\n\r\nbad!",
	"control byte in a name":     "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nX\x01Foo: 1\r\nContent-Length: 4\r\n\r\nbad!",
	"no name":                    "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\n: 1\r\nContent-Length: 4\r\n\r\nbad!",
	"blank behind the length":    "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nContent-Length : 4\r\n\r\nbad!",
	"blank behind the coding":    "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbad!\r\n0\r\n\r\n",
	"coding in HTTP/1.0":         "HTTP/1.0 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad!\r\n0\r\n\r\n",
	"HTTP/2.0":                   "HTTP/2.0 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"HTTP/0.9":                   "HTTP/0.9 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nbad!",
	"unknown coding":             "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding: other\r\n\r\nbad!",
	"blank in a trailer's name":  "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbad!\r\n0\r\nX Sum: 1\r\n\r\n",
	"chunk longer than its size": "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbad!\r\n0\r\n\r\n",
}

const soundText = "HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nfine"

// Guards against responses that are no HTTP and reach clients: they are failures of the back end.
func TestMalformedResponseIsAFailure(t *testing.T) {
	for name, text := range malformedResponses {
		for _, path := range []string{"/safe/1", "/unsafe/1", "/chat/1", "/resumable/1"} {
			for _, keep := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, %t", name, path, keep), func(t *testing.T) {
					t.Parallel()
					r, w := newObserved(t)
					r.unhurried(path)
					pool, sound := "app", good
					if isStream(path) {
						pool, sound = "llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3) }
					}
					retried := path == "/safe/1" || path == "/resumable/1"
					r.addRaw(pool, "x", respondText(text, keep))
					if got := r.ask("POST", path, nil); !retried {
						assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
					}
					assert.Equal(t, r.handler.malformedResponses(), uint64(1))
					// The failed back end is chosen last.
					r.add(pool, "y", sound)
					got := r.ask("POST", path, nil)
					assert.NilError(t, got.err)
					assert.Equal(t, got.status, http.StatusOK)
					r.finish()
					failures, successes := w.counts()
					assert.Equal(t, failures, 1)
					assert.Equal(t, successes, 1)
				})
			}
		}
	}
}

// A further attempt replaces a malformed response where the route allows one, and a stream goes on.
func TestFurtherAttemptFollowsMalformedResponse(t *testing.T) {
	for _, path := range []string{"/safe/1", "/resumable/1"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			r.unhurried(path)
			pool, body := "app", "fine"
			if isStream(path) {
				pool, body = "llm", eventText(3)
			}
			var calls atomic.Int32
			serve := func(c *net.TCPConn, unread io.Reader, request string) {
				text := malformedResponses["blank in the first name"]
				if calls.Add(1) == 2 {
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				respondText(text, true)(c, unread, request)
			}
			r.addRaw(pool, "x", serve)
			r.addRaw(pool, "y", serve)
			got := r.ask("POST", path, nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, body)
			assert.Equal(t, r.ran("x", "y"), 2)
		})
	}
}

// Nothing of a malformed head is believed.
func TestFieldsOfMalformedHeadHaveNoEffect(t *testing.T) {
	fields := strings.NewReplacer("{limit}", names.Limit, "{leaving}", names.Draining, "{brittle}", names.Brittle, "{notrun}", names.NotRun).Replace(
		"Retry-After: 9\r\n{limit}: 1\r\n{leaving}: 1\r\n{brittle}: 1\r\n{notrun}: 1\r\nKeep-Alive: timeout=1\r\nX Foo: 1\r\n")
	for _, status := range []string{"503 Busy", "200 OK", "421 Other", "429 Many"} {
		r := newRig(t)
		var calls atomic.Int32
		r.addRaw("app", "x", func(c *net.TCPConn, unread io.Reader, request string) {
			text := soundText
			if calls.Add(1) == 1 {
				text = "HTTP/1.1 " + status + "\r\n{id}\r\n{seal}\r\n" + fields + "Content-Length: 0\r\n\r\n"
			}
			respondText(text, true)(c, unread, request)
		})
		got := r.ask("POST", "/unsafe/1", nil)
		assert.Equal(t, got.status, http.StatusBadGateway, status)
		assert.Equal(t, got.header.Get("Retry-After"), "")
		assert.Equal(t, r.handler.config.Pushbacks.Status(coordapi.BackendID("x")).Wait, time.Duration(0))
		assert.Equal(t, r.handler.config.Limits.Active(), 0)
		assert.Equal(t, r.ask("POST", "/unsafe/2", nil).status, http.StatusOK, status)
	}
}

// unusualResponses are sound responses with the body "fine".
var unusualResponses = map[string]struct {
	text   string
	status int
}{
	"interim responses":     {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n" + soundText, 200},
	"unnamed interim one":   {"HTTP/1.1 199 Odd\r\n\r\n" + soundText, 200},
	"bytes over 0x7f":       {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nX-Foo: \xe4\xf6\r\nContent-Length: 4\r\n\r\nfine", 200},
	"unknown fields":        {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\n!#$%&'*+-.^_`|~: 1\r\nContent-Length: 4\r\n\r\nfine", 200},
	"no length":             {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\n\r\nfine", 200},
	"HTTP/1.0":              {"HTTP/1.0 200 OK\r\n{id}\r\n{seal}\r\n\r\nfine", 200},
	"HTTP/1.0 and a length": {"HTTP/1.0 200 OK\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nfine", 200},
	"to be closed":          {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfine", 200},
	"trailers":              {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Sum: 1\r\n\r\n", 200},
	"long head":             {"HTTP/1.1 200 OK\r\n{id}\r\n{seal}\r\nX-Foo: " + strings.Repeat("y", 30000) + "\r\nContent-Length: 4\r\n\r\nfine", 200},
	"unnamed success":       {"HTTP/1.1 299 Odd\r\n{id}\r\n{seal}\r\nContent-Length: 4\r\n\r\nfine", 299},
	"unnamed redirect":      {"HTTP/1.1 399 Odd\r\n{id}\r\nContent-Length: 4\r\n\r\nfine", 399},
	"unnamed client error":  {"HTTP/1.1 499 Odd\r\n{id}\r\nContent-Length: 4\r\n\r\nfine", 499},
	"unnamed server error":  {"HTTP/1.1 599 Odd\r\n{id}\r\nContent-Length: 4\r\n\r\nfine", 599},
}

// Guards against taking sound responses for malformed ones.
func TestUnusualResponseIsForwarded(t *testing.T) {
	for name, c := range unusualResponses {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			r.addRaw("app", "x", respondText(c.text, false))
			got := r.ask("POST", "/unsafe/1", nil)
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, got.body, "fine")
			assert.Equal(t, r.handler.malformedResponses(), uint64(0))
		})
	}
}

// Responses of another router are read as strictly as those of back ends.
func TestMalformedResponseOfOtherRouterIsAFailure(t *testing.T) {
	for name, text := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cut := newRig(t)
			cut.losePath("app")
			cut.setRelays(listenRaw(t, respondText(text, false)))
			got := cut.ask("POST", "/unsafe/1", nil)
			assert.Assert(t, got.err != nil || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
			assert.Equal(t, cut.handler.malformedResponses(), uint64(1))
		})
	}
}
