package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// malformedHeads are heads that are no response in the protocol, each with an empty line behind it.
var malformedHeads = map[string]string{
	"status 000":                    "HTTP/1.1 000 None\r\n",
	"status 099":                    "HTTP/1.1 099 None\r\n",
	"status 600":                    "HTTP/1.1 600 None\r\n",
	"status 999":                    "HTTP/1.1 999 None\r\n",
	"status with a sign":            "HTTP/1.1 +20 OK\r\n",
	"status of two digits":          "HTTP/1.1 20 OK\r\n",
	"status of four digits":         "HTTP/1.1 2000 OK\r\n",
	"no status":                     "HTTP/1.1\r\n",
	"two blanks before the status":  "HTTP/1.1  200 OK\r\n",
	"tab before the status":         "HTTP/1.1\t200 OK\r\n",
	"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\n",
	"carriage return in the reason": "HTTP/1.1 200 O\rK\r\n",
	"switched protocol":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n",
	"version 0.9":                   "HTTP/0.9 200 OK\r\n",
	"version 2.0":                   "HTTP/2.0 200 OK\r\n",
	"version without a minor one":   "HTTP/1 200 OK\r\n",
	"lower case":                    "http/1.1 200 OK\r\n",
	"empty line first":              "\r\nHTTP/1.1 200 OK\r\n",
	"blank in a name":               "HTTP/1.1 200 OK\r\nX Foo: 1\r\n",
	"blank at the end of a name":    "HTTP/1.1 200 OK\r\nX-Foo : 1\r\n",
	"blank before the first name":   "HTTP/1.1 200 OK\r\n X-Foo: 1\r\n",
	"continued line":                "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n",
	"tab in a name":                 "HTTP/1.1 200 OK\r\nX\tFoo: 1\r\n",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX\x01Foo: 1\r\n",
	"zero byte in a name":           "HTTP/1.1 200 OK\r\nX\x00Foo: 1\r\n",
	"delete byte in a name":         "HTTP/1.1 200 OK\r\nX\x7fFoo: 1\r\n",
	"carriage return in a name":     "HTTP/1.1 200 OK\r\nX\rFoo: 1\r\n",
	"line break in a name":          "HTTP/1.1 200 OK\r\nX\nFoo: 1\r\n",
	"byte over 0x7f in a name":      "HTTP/1.1 200 OK\r\nX\xfcFoo: 1\r\n",
	"quote in a name":               "HTTP/1.1 200 OK\r\n\"X\": 1\r\n",
	"no name":                       "HTTP/1.1 200 OK\r\n: 1\r\n",
	"no colon":                      "HTTP/1.1 200 OK\r\nX-Foo\r\n",
	"control byte in a value":       "HTTP/1.1 200 OK\r\nX-Foo: a\x01b\r\n",
	"zero byte in a value":          "HTTP/1.1 200 OK\r\nX-Foo: a\x00b\r\n",
	"carriage return in a value":    "HTTP/1.1 200 OK\r\nX-Foo: a\rb\r\n",
	"carriage return at the end":    "HTTP/1.1 200 OK\r\nX-Foo: a\r\r\n",
	"length with a blank":           "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"length with a sign":            "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n",
	"negative length":               "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n",
	"empty length":                  "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
	"lengths that differ":           "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n",
	"list of lengths that differ":   "HTTP/1.1 200 OK\r\nContent-Length: 4, 5\r\n",
	"coding with a blank":           "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"unknown coding":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: brotli\r\n",
	"chunked twice":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"coding in HTTP/1.0":            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n",
	"coding and length in HTTP/1.0": "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
	"no response":                   "hello\r\n",
}

// soundResponses are whole responses, with the body that each has. All end with their source.
var soundResponses = map[string]struct {
	text, body string
	status     int
}{
	"a length":                 {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"a length twice":           {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\ncontent-length: 4\r\n\r\nfine", "fine", 200},
	"chunks":                   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", "fine", 200},
	"chunks and trailers":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nfi\r\n2\r\nne\r\n0\r\nX-Sum: 1\r\nX-Other:\r\n\r\n", "fine", 200},
	"chunks with a length":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n", "fine", 200},
	"neither":                  {"HTTP/1.1 200 OK\r\n\r\nfine", "fine", 200},
	"HTTP/1.0":                 {"HTTP/1.0 200 OK\r\n\r\nfine", "fine", 200},
	"HTTP/1.0 with a length":   {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"a later minor version":    {"HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"no reason":                {"HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"no blank behind a status": {"HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"bytes over 0x7f":          {"HTTP/1.1 200 Gr\xfc\xdfe\r\nX-Foo: \xe4\xf6\xfc\tand \"more\"\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"unknown fields":           {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09Az: 1\r\nEmpty:\r\nA:b\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"line feeds only":          {"HTTP/1.1 200 OK\nContent-Length: 4\n\nfine", "fine", 200},
	"unnamed success":          {"HTTP/1.1 299 Odd\r\nContent-Length: 4\r\n\r\nfine", "fine", 299},
	"unnamed client error":     {"HTTP/1.1 499 Odd\r\nContent-Length: 4\r\n\r\nfine", "fine", 499},
	"unnamed server error":     {"HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n\r\nfine", "fine", 599},
	"informational":            {"HTTP/1.1 199 Odd\r\nA: b\r\n\r\n", "", 199},
	"no content":               {"HTTP/1.1 204 No Content\r\n\r\n", "", 204},
	"no content in chunks":     {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "", 204},
	"not modified":             {"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "", 304},
	"a long head":              {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: "+strings.Repeat("y", 100)+"\r\n", 500) + "Content-Length: 4\r\n\r\nfine", "fine", 200},
	"a long line":              {"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("y", 60000) + "\r\nContent-Length: 4\r\n\r\nfine", "fine", 200},
	"long trailers":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n" + strings.Repeat("X-Sum: 1\r\n", 3000) + "\r\n", "fine", 200},
}

// brokenBodies are responses whose head is sound and whose body is not.
var brokenBodies = map[string]string{
	"shorter than its length":       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine",
	"no chunk":                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"no last chunk":                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",
	"no end of trailers":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n",
	"no size":                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\nfine\r\n0\r\n\r\n",
	"size with a sign":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+4\r\nfine\r\n0\r\n\r\n",
	"size with a prefix":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x4\r\nfine\r\n0\r\n\r\n",
	"size too large":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000004\r\nfine\r\n0\r\n\r\n",
	"longer than its chunk":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfine\r\n0\r\n\r\n",
	"blank in a trailer's name":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX Sum: 1\r\n\r\n",
	"blank behind a trailer's name": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Sum : 1\r\n\r\n",
	"control byte in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Sum: \x00\r\n\r\n",
	"another head in the trailers":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
}

var post = &http.Request{Method: http.MethodPost}

// sources bring a text in different parts.
func sources(text string) map[string]io.Reader {
	return map[string]io.Reader{"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"with the end": iotest.DataErrReader(strings.NewReader(text))}
}

func TestMalformedHeadIsRefused(t *testing.T) {
	for name, head := range malformedHeads {
		for way, source := range sources(head + "\r\nfine") {
			t.Run(name+", "+way, func(t *testing.T) {
				_, err := NewReader(source).ReadResponse(post)
				assert.ErrorIs(t, err, ErrMalformed)
			})
		}
	}
}

func TestSoundResponseIsRead(t *testing.T) {
	for name, c := range soundResponses {
		for way, source := range sources(c.text) {
			t.Run(name+", "+way, func(t *testing.T) {
				response, err := NewReader(source).ReadResponse(post)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, c.status)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), c.body)
			})
		}
	}
}

func TestBrokenBodyEndsWithAnError(t *testing.T) {
	for name, text := range brokenBodies {
		for way, source := range sources(text) {
			t.Run(name+", "+way, func(t *testing.T) {
				response, err := NewReader(source).ReadResponse(post)
				assert.NilError(t, err)
				_, err = io.ReadAll(response.Body)
				assert.Assert(t, errors.Is(err, ErrMalformed) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
			})
		}
	}
}

func TestPartOfHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for size := range len(head) - 1 {
		_, err := NewReader(strings.NewReader(head[:size])).ReadResponse(post)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", head[:size])
	}
}

func TestHeadsAndTrailersAreBounded(t *testing.T) {
	endless := strings.Repeat("A: b\r\n", MaxHead)
	_, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + endless)).ReadResponse(post)
	assert.ErrorIs(t, err, ErrHeadSize)
	_, err = NewReader(strings.NewReader(strings.Repeat("x", 2*MaxHead))).ReadResponse(post)
	assert.ErrorIs(t, err, ErrHeadSize)
	response, err := NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + endless)).ReadResponse(post)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.ErrorIs(t, err, ErrHeadSize)
}

// Responses on one connection follow each other, whatever their framing and the size of their heads.
func TestResponsesFollowEachOther(t *testing.T) {
	var text strings.Builder
	long := strings.Repeat("y", 3*BufferSize)
	for range 3 {
		fmt.Fprintf(&text, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: 4\r\n\r\nfine", long)
		fmt.Fprintf(&text, "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Long: %s\r\n\r\n", long)
	}
	for way, source := range sources(text.String()) {
		t.Run(way, func(t *testing.T) {
			r := NewReader(source)
			for i := range 12 {
				response, err := r.ReadResponse(post)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode == http.StatusOK, i%2 == 1)
				body, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body) == "fine", i%2 == 1)
			}
			assert.Equal(t, r.Buffered(), 0)
			assert.ErrorIs(t, r.Await(), io.EOF)
		})
	}
}

// A body in chunks must not be held back until its trailers arrive.
func TestChunkIsReturnedBeforeTrailers(t *testing.T) {
	from, to := io.Pipe()
	defer to.Close()
	go func() {
		_, _ = io.WriteString(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX-Sum: ")
	}()
	response, err := NewReader(from).ReadResponse(post)
	assert.NilError(t, err)
	part := make([]byte, 8)
	n, err := response.Body.Read(part)
	assert.NilError(t, err)
	assert.Equal(t, string(part[:n]), "fine")
}

// benchHead is a head as back ends of a platform send it.
const benchHead = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 12:00:00 GMT\r\nContent-Type: application/json\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
	"X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weights: 12\r\nKeep-Alive: timeout=20\r\nContent-Length: 4\r\n\r\n"

func BenchmarkReadResponse(b *testing.B) {
	b.Run("Reader", func(b *testing.B) {
		r := NewReader(&repeated{text: benchHead + "fine"})
		b.ReportAllocs()
		for b.Loop() {
			response, err := r.ReadResponse(post)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
		}
	})
	b.Run("net/http", func(b *testing.B) {
		r := bufio.NewReader(&repeated{text: benchHead + "fine"})
		b.ReportAllocs()
		for b.Loop() {
			response, err := http.ReadResponse(r, post)
			assert.NilError(b, err)
			_, _ = io.Copy(io.Discard, response.Body)
		}
	})
}

// repeated is a text without an end, one repetition a read.
type repeated struct{ text string }

func (r *repeated) Read(p []byte) (int, error) { return copy(p, r.text), nil }

func TestSoundHeadIsCheckedWithoutAllocation(t *testing.T) {
	head := []byte(benchHead)
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		var s section
		if ended, err := s.check(head); !ended || err != nil {
			t.Fatal(err)
		}
	}), 0.0)
}
