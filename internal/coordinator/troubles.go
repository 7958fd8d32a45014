package coordinator

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// maxTroubleLines bounds the log lines a second on troubles that routers report.
const maxTroubleLines = 10

// logTroubles logs the engines that a router reports as failing. They are left out of choices for all
// routers, or cost more.
func (s *Server) logTroubles(now time.Duration, router string, troubles []coordapi.Trouble) {
	var unreachable, failed []string
	for _, t := range troubles {
		switch t.Kind {
		case coordapi.Unreachable:
			unreachable = append(unreachable, t.ID)
		case coordapi.Failed:
			failed = append(failed, t.ID)
		}
	}
	if len(unreachable)+len(failed) == 0 || !s.troubleLines.Allow(now, maxTroubleLines) {
		return
	}
	s.logger.Info("router reports trouble at engines", "part", "registry", "router", router, "unreachable", unreachable[:min(len(unreachable), maxLoggedIDs)],
		"failed", failed[:min(len(failed), maxLoggedIDs)])
}
