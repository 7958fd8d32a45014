package coordinator

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"quinceridge.example/quinceridge/internal/peer"
	"quinceridge.example/quinceridge/internal/periodic"
)

// sentInterval is the time between two log lines about sent messages.
const sentInterval = 10 * time.Second

// logSentLoop logs at intervals the number and the size of messages sent since the last line, by
// kind.
func (s *Server) logSentLoop(ctx context.Context) {
	before := map[string]peer.Sent{}
	periodic.Run(ctx, sentInterval, func(context.Context) {
		now := s.counters.Sent()
		var groups []any
		for _, carries := range slices.Sorted(maps.Keys(now)) {
			messages, bytes := now[carries].Messages-before[carries].Messages, now[carries].Bytes-before[carries].Bytes
			if messages > 0 {
				groups = append(groups, slog.Group(carries, "messages", messages, "bytes", bytes))
			}
		}
		before = now
		s.logger.Info("messages sent", append([]any{"part", "coordinator"}, groups...)...)
	})
}
