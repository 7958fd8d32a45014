// Package callers is the stand-in for callers. It generates open-loop load, retries as real clients
// do, and checks that every answer is complete, in order and for the right prompt.
package callers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/workload"
)

// Timeouts of a caller.
const (
	// retryTimeout is the time after which a request is no longer retried.
	retryTimeout   = 30 * time.Second
	requestTimeout = 60 * time.Second
	// headerTimeout exceeds the longest queueing delay, or callers would retry requests in progress.
	headerTimeout = 15 * time.Second
	maxBackoff    = 3 * time.Second
)

// Config configures the callers.
type Config struct {
	Deployment deployment.Deployment
	Plan       workload.Plan
	Seed       uint64
	// Routers lists the addresses of the routers.
	Routers []string
	// Limit is the maximum number of concurrent requests.
	Limit int
	// Progress, if set, is called about once per second.
	Progress func(Tally)
}

// Run sends all requests of the plan and returns the results. It stops sending when ctx is canceled.
func Run(ctx context.Context, config Config) *Report {
	c := &callers{config: config, report: newReport(), client: newClient(), slots: make(chan struct{}, config.Limit)}
	generator := workload.New(config.Deployment, config.Plan, config.Seed)
	started := time.Now()
	stop := c.reportProgress()
	defer stop()
	var group sync.WaitGroup
	for {
		arrival, more := generator.Next()
		if !more || ctx.Err() != nil {
			break
		}
		sleepUntil(ctx, started.Add(arrival.At))
		select {
		case c.slots <- struct{}{}:
		default:
			// The limit is reached: the arrival is counted as unsent.
			c.report.unsent()
			continue
		}
		group.Go(func() {
			defer func() { <-c.slots }()
			c.send(ctx, arrival)
		})
	}
	group.Wait()
	c.report.finish(time.Since(started))
	return c.report
}

type callers struct {
	config Config
	report *Report
	client *http.Client
	slots  chan struct{}
}

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Timeout: requestTimeout, Transport: httpwire.NewTransport(&http.Transport{DialContext: dialer.DialContext,
		MaxIdleConnsPerHost: 512, MaxIdleConns: 4096, ResponseHeaderTimeout: headerTimeout, DisableCompression: true})}
}

func sleepUntil(ctx context.Context, at time.Time) {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// reportProgress calls Progress about once per second until stop is called.
func (c *callers) reportProgress() (stop func()) {
	if c.config.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-ticker.C:
				c.config.Progress(c.report.Snapshot())
			case <-done:
				return
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

func (c *callers) send(ctx context.Context, r workload.Request) {
	c.report.started()
	if r.Application {
		c.call(ctx, r)
		return
	}
	c.generate(ctx, r)
}

// router returns the router for an attempt. Attempts rotate through the routers.
func (c *callers) router(number, attempt int) string {
	return c.config.Routers[(number+attempt)%len(c.config.Routers)]
}

// backoff sleeps before a retry for wait, at most maxBackoff, with jitter.
func backoff(ctx context.Context, wait time.Duration) {
	wait = min(wait, maxBackoff)
	sleepUntil(ctx, time.Now().Add(wait/2+time.Duration(rand.Int64N(int64(wait)+1))))
}

// requestKey returns the unique key of a request, used as its idempotency key.
func requestKey(r workload.Request, seed uint64) string {
	return fmt.Sprintf("%s-%d-%d", r.Kind.Name, seed, r.Number)
}
