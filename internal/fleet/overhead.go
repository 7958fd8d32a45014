package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/latency"
	"quinceridge.example/quinceridge/internal/workload"
)

// Overhead is what a router adds to a call of an engine, and what a streamed
// token costs it.
type Overhead struct {
	// Times to the first token in milliseconds.
	DirectP50, DirectP99 float64
	RoutedP50, RoutedP99 float64
	// TokensPerCore is tokens streamed a second for each core that one router
	// used, and RequestsPerCore requests.
	TokensPerCore   float64
	RequestsPerCore float64
	// MemoryPerStream is resident kilobytes for each open stream.
	MemoryPerStream float64
}

// Sizes of the measurement.
const (
	overheadCalls   = 400
	overheadPrompt  = 96 // tokens
	overheadAnswer  = 4
	overheadStreams = 150
	overheadLong    = 200 // tokens of the answers of open streams
)

// MeasureOverhead calls engines directly and through a router in turn, then
// holds many streams open at one router.
func (f *Fleet) MeasureOverhead(ctx context.Context) (Overhead, error) {
	direct, routed := latency.New(), latency.New()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	for n := range overheadCalls {
		wait, err := f.timeCall(ctx, client, f.layout.engine(n%f.config.Deployment.Engines)+engineapi.PathCompletions, fmt.Sprint("direct", n), overheadAnswer, nil)
		if err != nil {
			return Overhead{}, err
		}
		direct.Record(wait)
		if wait, err = f.timeCall(ctx, client, f.layout.router(0)+"/v1/completions", fmt.Sprint("routed", n), overheadAnswer, nil); err != nil {
			return Overhead{}, err
		}
		routed.Record(wait)
	}
	out := Overhead{DirectP50: direct.Milliseconds(50), DirectP99: direct.Milliseconds(99),
		RoutedP50: routed.Milliseconds(50), RoutedP99: routed.Milliseconds(99)}
	return out, f.measureStreams(ctx, client, &out)
}

// measureStreams holds streams open at the first router.
func (f *Fleet) measureStreams(ctx context.Context, client *http.Client, out *Overhead) error {
	before, err := f.usage(routerName(0))
	if err != nil {
		return err
	}
	var tokens, peak atomic.Int64
	var group sync.WaitGroup
	failures := make([]error, overheadStreams)
	for n := range overheadStreams {
		group.Go(func() {
			_, failures[n] = f.timeCall(ctx, client, f.layout.router(0)+"/v1/completions", fmt.Sprint("stream", n), overheadLong, func() {
				tokens.Add(1)
				if tokens.Load()%1000 == 0 {
					if now, err := f.usage(routerName(0)); err == nil {
						peak.Store(max(peak.Load(), now.resident))
					}
				}
			})
		})
	}
	group.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	after, err := f.usage(routerName(0))
	if err != nil {
		return err
	}
	cores := after.processor - before.processor
	out.TokensPerCore = float64(tokens.Load()) / cores
	out.RequestsPerCore = overheadStreams / cores
	out.MemoryPerStream = float64(peak.Load()-before.resident) / overheadStreams / 1000
	return nil
}

// timeCall returns the time to the first event of a streamed answer.
func (f *Fleet) timeCall(ctx context.Context, client *http.Client, url, name string, answer int, each func()) (time.Duration, error) {
	tenant := f.config.Deployment.Tenants[0].Name
	body, err := json.Marshal(engineapi.CompletionRequest{Model: f.config.Deployment.Model, Prompt: workload.Passage(name, overheadPrompt), MaxTokens: answer, Stream: true})
	if err != nil {
		return 0, errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+deployment.Key(tenant))
	request.Header.Set(engineapi.HeaderTenant, tenant)
	started := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return 0, errors.Newf("status %d: %s", response.StatusCode, text)
	}
	first := time.Duration(0)
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			return 0, errors.Wrap(err, "read")
		}
		if first == 0 {
			first = time.Since(started)
		}
		if each != nil && event.Data != engineapi.Done {
			each()
		}
	}
	return first, nil
}

// processUsage is what a process has used: core seconds and resident bytes.
type processUsage struct {
	processor float64
	resident  int64
}

// ticksPerSecond is the unit of processor time that the system reports.
const ticksPerSecond = 100

func (f *Fleet) usage(name string) (processUsage, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", f.processes[name].ID()))
	if err != nil {
		return processUsage{}, errors.Wrap(err, "read usage")
	}
	// The fields after the name in parentheses: state is the first of them.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const user, system, resident = 11, 12, 21
	if len(fields) <= resident {
		return processUsage{}, errors.New("usage is unreadable")
	}
	var ticks [2]float64
	var pages int64
	_, err = fmt.Sscan(fields[user]+" "+fields[system]+" "+fields[resident], &ticks[0], &ticks[1], &pages)
	return processUsage{processor: (ticks[0] + ticks[1]) / ticksPerSecond, resident: pages * int64(os.Getpagesize())}, errors.Wrap(err, "read usage")
}
