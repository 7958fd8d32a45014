package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/state"
)

// hanging is a back end that has gone silent with its connections open, as one whose
// machine lost power does.
func hanging(begun chan<- struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, q *http.Request) {
		begun <- struct{}{}
		<-q.Context().Done()
	}
}

// restart tells the router that a back end has started again under its name, elsewhere.
func (r *rig) restart(pool, name, address string) {
	r.pool.Apply([]state.Backend{{ID: name + "~2", Instance: name, Born: 2, EnrolledRevision: 2, Pool: pool, Address: address, Zone: "a"}}, []string{name}, false)
}

// Requests at a start that is over are known to be over when its successor is heard of,
// and not at their deadline: what may be repeated goes on, what may not is told at once.
func TestRequestsAtAStartThatIsOverEndWhenItsSuccessorIsKnown(t *testing.T) {
	r := newRig(t)
	r.source.table.Route("h", "/safe/x").Timeout = 20 * time.Second
	r.source.table.Route("h", "/unsafe/x").Timeout = 20 * time.Second
	r.source.table.Route("h", "/resumable/x").Timeout = 20 * time.Second
	for _, path := range []string{"/safe/x", "/unsafe/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			pool := r.source.table.Route("h", path).Split[0].Pool
			begun := make(chan struct{}, 10)
			name := "worker" + path
			r.add(pool, name, hanging(begun))
			got := make(chan result)
			// Alarms for silence would end it too.
			r.source.table.Route("h", path).Target = 20 * time.Second
			go func() {
				got <- r.ask("POST", path, func(q *http.Request) { q.Header.Set(names.Model, "m") })
			}()
			<-begun
			expected := make(chan string, 10)
			r.add(pool, "elsewhere"+path, func(w http.ResponseWriter, q *http.Request) {
				expected <- q.Header.Get(names.Instance)
				events(w, 1, 2)
			})
			address := r.address(pool, name)
			r.pool.Apply(nil, []string{"elsewhere" + path}, false)
			r.restart(pool, name, address)
			answer := <-got
			if path == "/unsafe/x" {
				assert.Equal(t, answer.status, http.StatusBadGateway)
				assert.Equal(t, answer.header.Get("Retry-After"), "", "it may have run")
			} else {
				assert.Equal(t, answer.status, http.StatusOK)
				assert.Equal(t, <-expected, name, "the back end is named as it names itself")
			}
			r.pool.Apply(nil, []string{name + "~2"}, false)
		})
	}
}
