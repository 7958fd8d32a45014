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

// sentEvery is the time between two lines on what a node has sent.
const sentEvery = 10 * time.Second

// sentLoop says now and then what this node has sent since the last line, by what the
// messages carry: which of them grow tells what a deployment asks of its leader.
func (s *Server) sentLoop(ctx context.Context) {
	before := map[string]peer.Sent{}
	periodic.Run(ctx, sentEvery, func(context.Context) {
		now := s.counters.Sent()
		var groups []any
		for _, carries := range slices.Sorted(maps.Keys(now)) {
			messages, bytes := now[carries].Messages-before[carries].Messages, now[carries].Bytes-before[carries].Bytes
			if messages > 0 {
				groups = append(groups, slog.Group(carries, "messages", messages, "bytes", bytes))
			}
		}
		before = now
		s.logger.Info("sent", append([]any{"part", "coordinator"}, groups...)...)
	})
}
