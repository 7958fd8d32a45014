package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"quinceridge.example/quinceridge/internal/state"
	"quinceridge.example/quinceridge/internal/traffic"
)

const (
	poolEngines    = "engines"
	poolWorkers    = "workers"
	controlTimeout = time.Second
	changeInterval = 700 * time.Millisecond
	// keyLifetime is the number of consecutive configurations that contain a tenant's key.
	keyLifetime = 4
	// routeTimeout is the time-out of all routes but those of long streams.
	routeTimeout = 2 * time.Second
)

// acknowledged is a configuration that a coordinator acknowledged.
type acknowledged struct {
	version uint64
	at      time.Duration
	keys    []string
}

// keysOf returns the keys that a version accepts. Each version drops the oldest key and adds a
// new one.
func keysOf(version uint64) []string {
	var keys []string
	for i := range uint64(keyLifetime) {
		keys = append(keys, fmt.Sprintf("key-%d", version+i))
	}
	return keys
}

func documentOf(version uint64) []byte {
	// The time-out of long streams changes while they run.
	long := func(kind, abandonAfter string, resumable bool, attempts int) traffic.DocumentRoute {
		return traffic.DocumentRoute{Name: kind, Host: "soak", Prefix: "/" + kind + "/", Kind: traffic.KindStream,
			Timeout: (longTimeout + time.Duration(version%2)*time.Second).String(), Target: "300ms", GapTarget: "500ms", AbandonAfter: abandonAfter,
			Split: map[string]int{poolEngines: 1}, MaxAttempts: attempts, Resumable: resumable}
	}
	route := func(kind, pool string, k traffic.Kind, resumable bool, attempts int) traffic.DocumentRoute {
		return traffic.DocumentRoute{Name: kind, Host: "soak", Prefix: "/" + kind + "/", Kind: k, Timeout: routeTimeout.String(), Target: "300ms",
			GapTarget: "500ms", Split: map[string]int{pool: 1}, MaxAttempts: attempts, Resumable: resumable}
	}
	text, _ := json.Marshal(traffic.Document{Version: version,
		Routes: []traffic.DocumentRoute{
			route("safe", poolWorkers, traffic.KindSafe, false, 2),
			route("unsafe", poolWorkers, traffic.KindUnsafe, false, 1),
			route("stream", poolEngines, traffic.KindStream, true, 3),
			route("chat", poolEngines, traffic.KindStream, false, 1),
			long(longKinds[0], longPatience.String(), true, 2),
			long(longKinds[1], "", false, 1),
		},
		Pools:   []traffic.DocumentPool{{Name: poolEngines, Slots: engineSlots, CapacityTokens: 100000}, {Name: poolWorkers}},
		Tenants: []traffic.DocumentTenant{{Name: usualTenant, Keys: keysOf(version)}, {Name: floodTenant, Keys: []string{floodKey}}},
	})
	return text
}

// key returns the newest key of the last acknowledged configuration or, sometimes, a revoked
// one.
func (s *Soak) key() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.acked) == 0 {
		return "none"
	}
	newest := s.acked[len(s.acked)-1].version
	if rand.IntN(10) == 0 && newest > keyLifetime {
		return fmt.Sprintf("key-%d", newest-1)
	}
	return fmt.Sprintf("key-%d", newest+keyLifetime-1)
}

// runOperator changes the configuration and the weights until the context ends.
func (s *Soak) runOperator(ctx context.Context) {
	for version := uint64(1); ctx.Err() == nil; version++ {
		for ctx.Err() == nil {
			if s.control(ctx, http.MethodPut, "/v1/configuration", documentOf(version)) == http.StatusOK {
				s.mu.Lock()
				s.acked = append(s.acked, acknowledged{version: version, at: s.now(), keys: append(keysOf(version), floodKey)})
				s.mu.Unlock()
				break
			}
			wait(ctx, 100*time.Millisecond)
		}
		if version%5 == 0 {
			s.nameWeights(ctx)
		}
		wait(ctx, changeInterval)
	}
}

func (s *Soak) nameWeights(ctx context.Context) {
	body, _ := json.Marshal(state.NameWeights{Model: model, Version: int(s.weightsVersion.Load()) + 1})
	if s.control(ctx, http.MethodPost, "/v1/weights", body) == http.StatusOK {
		s.weightsVersion.Add(1)
	}
}

// control sends a request to the coordinators in turn, from a random one on. It returns the
// first status below 500, or 0 if there was none.
func (s *Soak) control(ctx context.Context, method, path string, body []byte) int {
	first := rand.IntN(len(s.coordinators))
	for i := range s.coordinators {
		address := s.coordinators[(first+i)%len(s.coordinators)].listen
		if status, _ := s.controlAt(ctx, address, method, path, body); status != 0 && status < http.StatusInternalServerError {
			return status
		}
	}
	return 0
}

func (s *Soak) controlAt(ctx context.Context, address, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, read
}
