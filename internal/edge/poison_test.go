package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What callers saw: for ten seconds at a time a tenth of all chats broke off, at
// engine after engine. One caller's chat ended each engine that began it, before its
// first event; the caller came back under another request ID, at another router, and
// the next engine ended, fourteen in all. No router knew that the chat was the same:
// tried engines and repeats were counted by request ID, in one router. Shown by the
// digests of the requests that broke off: one of them stood at every engine that
// ended, all others at one or two.
func TestARequestThatEndsEnginesIsKeptFromThem(t *testing.T) {
	for _, path := range []string{"/chat/", "/check/", "/pay/", "/look/"} {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t, 3, 2, 6)
			for i := 0; d.endedEngines() < 3 && i < 40; i++ {
				d.ask(i%2, "ka", path, poisonBody)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, d.endedEngines() >= 3)
			time.Sleep(time.Second)
			before := d.ran(poisonBody)
			var got []int
			for i := range 6 {
				got = append(got, d.ask(i%2, "ka", path, poisonBody).status)
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, d.ran(poisonBody), before, "it reached engines again")
			for _, status := range got {
				assert.Equal(t, status, http.StatusBadGateway, "a final answer that does not claim that it never ran")
			}
			// Others are served: another tenant's request that reads the same, and
			// this tenant's other requests.
			assert.Equal(t, d.ask(0, "kb", path, poisonBody).status, http.StatusOK)
			assert.Equal(t, d.ask(1, "ka", path, "harmless").status, http.StatusOK)
		})
	}
}
