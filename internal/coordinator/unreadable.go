package coordinator

import "time"

// unreadableEvery is the least time between two log lines on what cannot be read: another
// writer may send it as often as all back ends together.
const unreadableEvery = time.Second

// Unreadable notes that what was said in a back end's name could not be read. It changes
// nothing that is believed of that back end or of others.
func (s *Server) Unreadable(name string, err error) {
	count := s.unreadable.Add(1)
	now, last := int64(s.now()), s.unreadableAt.Load()
	if (last > 0 && now < last+int64(unreadableEvery)) || !s.unreadableAt.CompareAndSwap(last, now) {
		return
	}
	s.logger.Warn("entry cannot be read", "part", "registry", "backend", name, "error", err.Error(), "total", count)
}
