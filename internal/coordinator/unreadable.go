package coordinator

// RecordUnreadable notes that what was said in a back end's name could not be read. It changes
// nothing that is believed of that back end or of others. Another writer may send it as often
// as all back ends together: one line a second says so.
func (s *Server) RecordUnreadable(name string, err error) {
	count := s.unreadable.Add(1)
	if s.unreadableLines.Allow(s.now(), 1) {
		s.logger.Warn("entry cannot be read", "part", "registry", "backend", name, "error", err.Error(), "total", count)
	}
}
