// Package trace records the steps of recent requests for operators.
package trace

import (
	"container/list"
	"sync"
	"time"
)

// capacity is the maximum number of recorded requests, and maxSteps that of steps per request.
const (
	capacity = 4096
	maxSteps = 64
)

// Step is an event in the processing of a request.
type Step struct {
	// At is the time since the start of the request in milliseconds.
	At float64 `json:"at_ms"`
	// What is a fixed word, such as placed or resumed.
	What string `json:"what"`
	// Detail is a human-readable description.
	Detail string `json:"detail,omitempty"`
}

// Trace is the record of a request.
type Trace struct {
	RequestID string    `json:"request_id"`
	Tenant    string    `json:"tenant,omitempty"`
	Started   time.Time `json:"started"`
	Steps     []Step    `json:"steps"`
}

// Recorder records the latest requests. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	order  *list.List
	traces map[string]*list.Element
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{order: list.New(), traces: map[string]*list.Element{}}
}

// Span records the steps of a request. A nil Span records nothing.
type Span struct {
	recorder *Recorder
	trace    *Trace
}

// Start begins the record of a request and removes an earlier one with the same ID.
func (r *Recorder) Start(requestID, tenant string) *Span {
	t := &Trace{RequestID: requestID, Tenant: tenant, Started: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.traces[requestID]; ok {
		r.order.Remove(old)
	}
	r.traces[requestID] = r.order.PushFront(t)
	if r.order.Len() > capacity {
		last := r.order.Back()
		r.order.Remove(last)
		delete(r.traces, last.Value.(*Trace).RequestID)
	}
	return &Span{recorder: r, trace: t}
}

// Step records a step that happens now.
func (s *Span) Step(what, detail string) {
	if s == nil {
		return
	}
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if len(s.trace.Steps) >= maxSteps {
		return
	}
	at := float64(time.Since(s.trace.Started).Microseconds()) / 1000
	s.trace.Steps = append(s.trace.Steps, Step{At: at, What: what, Detail: detail})
}

// Find returns a copy of a request's trace.
func (r *Recorder) Find(requestID string) (Trace, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	element, ok := r.traces[requestID]
	if !ok {
		return Trace{}, false
	}
	found := *element.Value.(*Trace)
	found.Steps = append([]Step(nil), found.Steps...)
	return found, true
}
