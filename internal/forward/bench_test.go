package forward

import (
	"net/http"
	"testing"
)

// BenchmarkStream measures a resumable stream of 200 events where nothing is silent.
func BenchmarkStream(b *testing.B) {
	r := newRig(b)
	r.add("llm", "x", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 200) })
	b.ReportAllocs()
	for b.Loop() {
		if got := r.ask("POST", "/resumable/1", nil); got.err != nil || got.status != http.StatusOK {
			b.Fatalf("%d %v", got.status, got.err)
		}
	}
}
