package coordinator

// RecordUnreadable records a message in the name of a back end that could not be decoded. It
// changes no state of the back end. At most one line a second is logged, because a sender other
// than a back end may send such messages at any rate.
func (s *Server) RecordUnreadable(name string, err error) {
	count := s.unreadable.Add(1)
	if s.unreadableLines.Allow(s.now(), 1) {
		s.logger.Warn("cannot decode message of back end", "part", "registry", "backend", name, "error", err.Error(), "total", count)
	}
}
