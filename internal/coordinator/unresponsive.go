package coordinator

import (
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// streamsCheckInterval is the minimum time between two checks for unresponsive engines, to which
// broadcastIntervalPerRouter is added for each watcher: all of them receive a changed list.
const streamsCheckInterval = 20 * time.Millisecond

// updateUnresponsive updates the list of unresponsive engines. Watchers are woken, since a stream at
// such an engine has exceeded its pause already.
func (s *Server) updateUnresponsive(now time.Duration) {
	if now < s.soft.streamsCheckedAt+streamsCheckInterval+time.Duration(s.soft.watchers())*broadcastIntervalPerRouter {
		return
	}
	s.soft.streamsCheckedAt = now
	listed, changes := s.placer.CheckStreams(now)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes[:min(len(changes), maxLoggedIDs)] {
		message := "engine responds again"
		if c.Listed {
			message = "engine is unresponsive"
		}
		s.logger.Info(message, "part", "registry", "backend", c.Engine, "streams", c.Streams, "overdue", c.Overdue, "active", c.Active,
			"newest_event_ms", c.Age.Milliseconds(), "listed", len(listed), "changes", len(changes))
	}
	s.soft.unresponsive = listed
	s.soft.changes++
	s.notify.wake()
}

// silentAndUnresponsive returns the unresponsive engines, and the silent back ends that concern a
// shard or are unresponsive: a router may have requests at engines outside its shard.
func (t *softState) silentAndUnresponsive(d *state.Deployment, shard coordapi.Shard) (silent, unresponsive []string) {
	silent = t.silentOf(d, shard)
	if shard.Count > 1 {
		for _, id := range t.unresponsive {
			if t.isSilent(id) && !shard.Holds(coordapi.BackendID(id)) {
				silent = append(slices.Clip(silent), id)
			}
		}
	}
	return silent, t.unresponsive
}
