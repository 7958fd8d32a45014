// Package weightstore is the stand-in for the rate-limited weight store. All clients share one rate
// of loads.
package weightstore

import (
	"context"
	"net/http"

	"golang.org/x/time/rate"

	"quinceridge.example/quinceridge/internal/standin"
)

// PathWeights is the path prefix of GET {model}/{version}. The response, without a body, is sent
// when the transfer is complete.
const PathWeights = "/weights/"

// Config configures the stand-in.
type Config struct {
	Listen string
	// Loads is the rate limit in loads per second.
	Loads float64
}

// Run serves until ctx is canceled.
func Run(ctx context.Context, config Config) error {
	limiter := rate.NewLimiter(rate.Limit(config.Loads), 1)
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights+"{model}/{version}", func(w http.ResponseWriter, r *http.Request) {
		if err := limiter.Wait(r.Context()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return standin.Serve(ctx, config.Listen, mux)
}
