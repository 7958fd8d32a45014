// Package peer is the internal protocol: JSON lines over TCP between control
// nodes, routers and operators. A line is one envelope; replies carry the
// number of the call they answer and may come in any order.
package peer

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxLine bounds one message. The whole bundle of the target size is 6 MiB.
const maxLine = 64 << 20

// ErrRemote is the mark of an error that the called process reported.
var ErrRemote = errors.New("remote error")

// envelope is one line. A call with number 0 wants no reply.
type envelope struct {
	Number uint64          `json:"n,omitempty"`
	Kind   string          `json:"kind,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	Error  string          `json:"error,omitempty"`
	// Carries names what the message carries, for the figures of who sends it.
	Carries string `json:"-"`
}

// Counters count the bytes and messages of all connections of a process.
type Counters struct {
	BytesIn     atomic.Uint64
	BytesOut    atomic.Uint64
	MessagesIn  atomic.Uint64
	MessagesOut atomic.Uint64

	mu sync.Mutex
	// sent are the messages that went out, by what they carry.
	sent map[string]Sent
}

// Sent is what went out of one sort.
type Sent struct{ Messages, Bytes uint64 }

// Labeled is the body of a message that says what it carries. Any other counts under the
// kind of its call.
type Labeled interface{ Label() string }

// labelOf is what a body carries.
func labelOf(body any, otherwise string) string {
	if l, labeled := body.(Labeled); labeled {
		return l.Label()
	}
	return otherwise
}

// count notes a message that goes out.
func (c *Counters) count(carries string, bytes int) {
	c.BytesOut.Add(uint64(bytes))
	c.MessagesOut.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = map[string]Sent{}
	}
	s := c.sent[carries]
	c.sent[carries] = Sent{s.Messages + 1, s.Bytes + uint64(bytes)}
}

// Sent returns what went out so far, by what it carries.
func (c *Counters) Sent() map[string]Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.sent)
}

// lineReader reads envelopes.
type lineReader struct {
	scanner  *bufio.Scanner
	counters *Counters
}

const firstBuffer = 16 << 10

func newLineReader(r io.Reader, counters *Counters) *lineReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, firstBuffer), maxLine)
	return &lineReader{scanner: scanner, counters: counters}
}

func (l *lineReader) next() (envelope, error) {
	var e envelope
	if !l.scanner.Scan() {
		if err := l.scanner.Err(); err != nil {
			return e, errors.Wrap(err, "read message")
		}
		return e, io.EOF
	}
	l.counters.BytesIn.Add(uint64(len(l.scanner.Bytes()) + 1))
	l.counters.MessagesIn.Add(1)
	err := json.Unmarshal(l.scanner.Bytes(), &e)
	return e, errors.Wrap(err, "decode message")
}

// bodyField begins the body's field of an envelope.
const bodyField = `"body":`

// encodeLine returns the line of an envelope.
func encodeLine(e envelope, counters *Counters) ([]byte, error) {
	// The body is what json.Marshal made. To encode the envelope around it as a whole reads
	// and copies it once more.
	body := e.Body
	e.Body = nil
	head, err := json.Marshal(e)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	line := head
	if len(body) > 0 {
		line = make([]byte, 0, len(head)+len(body)+len(bodyField)+1)
		line = append(line, head[:len(head)-1]...)
		if len(head) > len("{}") {
			line = append(line, ',')
		}
		line = append(line, bodyField...)
		line = append(line, body...)
		line = append(line, '}')
	}
	line = append(line, '\n')
	counters.count(e.Carries, len(line))
	return line, nil
}
