package coordapi

import (
	"encoding/json"
	"testing"
)

// Checks that any input that decodes as a message can be encoded again.
func FuzzMessages(f *testing.F) {
	for _, seed := range []string{`{"watch":{"router":"r","wait":1}}`, `{"place":{"router":"r","number":1,"pool":"p","limits":[{"id":"a","limited":true,"rate":1e308}]}}`,
		`{"claim":{"backend":"b"}}`, `{"await":{"router":"r","session":7}}`, `{"awaited":{"session":7,"sequence":-1,"outcomes":[{"n":1}]}}`, `{"view":{"revision":1,"backends":[{"id":"a"}],"limited":["a"]}}`, `{"tell":{"stalls":[{"id":"a","n":-1,"o":9,"a":-1}]}}`, `{"view":{"unresponsive":["a"]}}`, `{"tell":{"spent":[{"t":"a","a":-1}]}}`, `{"placed":{"right":-1}}`, `[`, `{"watch":3}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request Request
		if json.Unmarshal(data, &request) == nil {
			if _, err := json.Marshal(request); err != nil {
				t.Fatal(err)
			}
			_ = request.Label()
		}
		var reply Reply
		if json.Unmarshal(data, &reply) == nil {
			if _, err := json.Marshal(reply); err != nil {
				t.Fatal(err)
			}
			_ = reply.Label()
		}
	})
}

// Checks that Unpack survives truncated and invalid input.
func FuzzUnpack(f *testing.F) {
	packed, err := Pack(FullView{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte("{}"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var whole FullView
		_ = Unpack(data, &whole)
	})
}
