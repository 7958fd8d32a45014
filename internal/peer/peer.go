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

	"quinceridge.example/quinceridge/internal/memory"
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
	reader   *bufio.Reader
	counters *Counters
	// account counts long lines; nil for the connections of clients.
	account *memory.Account
	// long holds a line that is longer than the reader's buffer.
	long []byte
	// size is that of the last line.
	size int
}

const (
	// readBuffer is the size of a line that is read without a buffer of its own.
	readBuffer = 16 << 10
	// decodedFactor is the memory of a line and of its decoded body, in sizes of the line.
	decodedFactor = 2
)

var errNoMemory = errors.New("there is no memory for the message")

func newLineReader(r io.Reader, counters *Counters, account *memory.Account) *lineReader {
	return &lineReader{reader: bufio.NewReaderSize(r, readBuffer), counters: counters, account: account}
}

// next returns the next envelope. It returns io.EOF at the end.
func (l *lineReader) next() (envelope, error) {
	var e envelope
	line, err := l.line()
	if err != nil {
		return e, err
	}
	l.size = len(line)
	l.counters.BytesIn.Add(uint64(len(line)))
	l.counters.MessagesIn.Add(1)
	err = json.Unmarshal(line, &e)
	l.drop()
	return e, errors.Wrap(err, "decode message")
}

// line returns the next line, which is valid until the next call. An empty last one is none.
func (l *lineReader) line() ([]byte, error) {
	for {
		part, err := l.reader.ReadSlice('\n')
		switch {
		case err == nil && len(l.long) == 0:
			return part, nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull) && !(err == io.EOF && len(l.long)+len(part) > 0):
			return nil, endOf(err)
		}
		if err := l.extend(part); err != nil {
			return nil, err
		}
		if err == nil || err == io.EOF {
			return l.long, nil
		}
	}
}

// endOf returns io.EOF at the end of the messages, and else the error of reading one.
func endOf(err error) error {
	if err == io.EOF {
		return err
	}
	return errors.Wrap(err, "read message")
}

// extend adds a part to the long line, in a buffer that the account holds.
func (l *lineReader) extend(part []byte) error {
	needed := len(l.long) + len(part)
	if needed > maxLine {
		return errors.Newf("the message is larger than %d bytes", maxLine)
	}
	if needed > cap(l.long) {
		size := max(2*cap(l.long), 2*readBuffer, needed)
		if l.account != nil && !l.account.Reserve(int64(size)) {
			return errNoMemory
		}
		old := cap(l.long)
		l.long = append(make([]byte, 0, size), l.long...)
		l.release(old)
	}
	l.long = append(l.long, part...)
	return nil
}

// drop releases the buffer of the long line.
func (l *lineReader) drop() {
	l.release(cap(l.long))
	l.long = nil
}

func (l *lineReader) release(bytes int) {
	if l.account != nil {
		l.account.Release(int64(bytes))
	}
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
