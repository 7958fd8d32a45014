package peer

import (
	"bytes"
	"testing"
)

// Checks that any input yields messages or an error, and ends.
func FuzzLines(f *testing.F) {
	f.Add([]byte("{\"n\":1,\"kind\":\"call\",\"body\":{}}\n"))
	f.Add([]byte("{\"n\":-1}\n{\"body\""))
	f.Add([]byte("\n\n[]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := newLineReader(bytes.NewReader(data), &Counters{}, nil)
		for range len(data) + 2 {
			if _, err := lines.next(); err != nil {
				return
			}
		}
		t.Fatal("more messages than bytes")
	})
}
