package coordinator

import "time"

const (
	// keptSaved bounds the saved parts that a leader remembers for watchers.
	keptSaved = 8192
	// announceEvery is the least time between two announcements, and
	// announceStep what each watcher adds to it.
	announceEvery = 100 * time.Millisecond
	announceStep  = 3 * time.Millisecond
)

// savedParts are the prompt parts that routers told of, in order. The first of
// parts has the number first.
type savedParts struct {
	first     uint64
	parts     []uint64
	announced uint64
	at        time.Duration
}

func (s *savedParts) add(_ time.Duration, parts []uint64) {
	s.parts = append(s.parts, parts...)
	if excess := len(s.parts) - keptSaved; excess > 0 {
		s.parts = append([]uint64(nil), s.parts[excess:]...)
		s.first += uint64(excess)
	}
}

func (s *savedParts) until() uint64 { return s.first + uint64(len(s.parts)) }

// announce tells whether watchers should be woken for new parts now.
func (s *savedParts) announce(now time.Duration, watchers int) bool {
	if s.announced == s.until() || now < s.at+announceEvery+time.Duration(watchers)*announceStep {
		return false
	}
	s.announced, s.at = s.until(), now
	return true
}

// after returns the parts behind a number, and the number of the next.
func (s *savedParts) after(since uint64) ([]uint64, uint64) {
	if since >= s.until() {
		return nil, s.until()
	}
	return s.parts[max(since, s.first)-s.first:], s.until()
}
