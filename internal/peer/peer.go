// Package peer implements the internal protocol between control nodes, coordinators, routers and
// operators: JSON lines over TCP. A line contains one envelope. Replies have the number of their
// call and may arrive in any order.
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

// maxLine is the maximum size of a message, well above that of the largest bundle.
const maxLine = 64 << 20

// ErrRemote marks an error that the called process returned.
var ErrRemote = errors.New("remote error")

// envelope is the content of a line. A call with number 0 gets no reply.
type envelope struct {
	Number uint64          `json:"n,omitempty"`
	Kind   string          `json:"kind,omitempty"`
	Body   json.RawMessage `json:"body,omitempty"`
	Error  string          `json:"error,omitempty"`
	// Label is the kind of the message in Counters.
	Label string `json:"-"`
}

// Counters counts the bytes and messages of all connections of a process.
type Counters struct {
	BytesIn     atomic.Uint64
	BytesOut    atomic.Uint64
	MessagesIn  atomic.Uint64
	MessagesOut atomic.Uint64

	mu sync.Mutex
	// sent counts the sent messages by label.
	sent map[string]Sent
}

// Sent is the number of messages sent with one label, and their total size.
type Sent struct{ Messages, Bytes uint64 }

// Labeled is implemented by bodies with a label of their own. Other messages are counted under
// the kind of their call.
type Labeled interface{ Label() string }

// labelOf returns the label of a body.
func labelOf(body any, fallback string) string {
	if l, labeled := body.(Labeled); labeled {
		return l.Label()
	}
	return fallback
}

// count counts a sent message.
func (c *Counters) count(label string, bytes int) {
	c.BytesOut.Add(uint64(bytes))
	c.MessagesOut.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sent == nil {
		c.sent = map[string]Sent{}
	}
	s := c.sent[label]
	c.sent[label] = Sent{s.Messages + 1, s.Bytes + uint64(bytes)}
}

// Sent returns the counts of sent messages by label.
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

const initialBuffer = 16 << 10

func newLineReader(r io.Reader, counters *Counters) *lineReader {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, initialBuffer), maxLine)
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

// bodyField precedes the body in an encoded envelope.
const bodyField = `"body":`

// encodeLine returns the line of an envelope.
func encodeLine(e envelope, counters *Counters) ([]byte, error) {
	// The body is valid JSON already. Marshaling the whole envelope would scan and copy it
	// again.
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
	counters.count(e.Label, len(line))
	return line, nil
}
