package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/standin"
	"quinceridge.example/quinceridge/internal/workload"
)

// answer is what a caller has of its answer.
type answer struct {
	next      int
	lastID    string
	sent      time.Time
	first     time.Time
	previous  time.Time
	done      bool
	prompt    uint64
	wanted    int
	requestID string
}

// Ways in which a try can end without the answer.
var (
	errRefused  = errors.New("refused as not run")
	errBroken   = errors.New("connection broke")
	errCut      = errors.New("explicit error event")
	errNotHeld  = errors.New("answer is not held any more")
	errWrong    = errors.New("wrong answer")
	errRejected = errors.New("rejected as at fault")
)

// generate asks for an answer until it is whole or patience ends.
func (c *callers) generate(ctx context.Context, r workload.Request) {
	text := r.Text()
	body, err := json.Marshal(engineapi.CompletionRequest{Model: c.config.Deployment.Model, Prompt: text,
		MaxTokens: r.Kind.OutputTokens, Stream: true})
	if err != nil {
		return
	}
	fresh := answer{prompt: standin.PromptDigest([]byte(text)), wanted: r.Kind.OutputTokens, sent: time.Now()}
	a := fresh
	last := errBroken
	for try, end := 0, time.Now().Add(patience); time.Now().Before(end); try++ {
		var wait time.Duration
		wait, last = c.tryGenerate(ctx, r, body, &a, try)
		switch {
		case last == nil:
			c.report.answered(r, &a)
			return
		case errors.Is(last, errWrong):
			c.report.wrong(r, last)
			return
		case errors.Is(last, errRefused):
			c.report.refused(a.requestID)
			backoff(ctx, wait)
			if a.next == 0 {
				a.sent = time.Now()
			}
		case errors.Is(last, errBroken):
			c.report.broken(a.next > 0)
			backoff(ctx, 50*time.Millisecond)
		case errors.Is(last, errCut), errors.Is(last, errNotHeld):
			// The service has said that this answer cannot go on: ask anew.
			c.report.restarted()
			backoff(ctx, 50*time.Millisecond)
			a = fresh
			a.sent = time.Now()
		}
		if ctx.Err() != nil || errors.Is(last, errRejected) {
			break
		}
	}
	c.report.gaveUp(r, last, a.next > 0)
}

// tryGenerate sends one request and reads what comes.
func (c *callers) tryGenerate(ctx context.Context, r workload.Request, body []byte, a *answer, try int) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router(r.Number, try)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, errRejected)
	}
	request.Header.Set("Authorization", "Bearer "+deployment.Key(r.Tenant))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Priority-Class", r.Kind.Class)
	if a.lastID != "" {
		request.Header.Set("Last-Event-ID", a.lastID)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, errors.Mark(err, errBroken)
	}
	defer response.Body.Close()
	a.requestID = response.Header.Get("X-Request-Id")
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	return 0, a.read(response.Body)
}

// refusal explains an error answer.
func refusal(response *http.Response) (time.Duration, error) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	detail := engineapi.DecodeError(body)
	switch {
	case response.StatusCode == http.StatusGone:
		return 0, errNotHeld
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return retryAfter(response), errRefused
	case response.StatusCode == http.StatusBadGateway:
		return 0, errCut
	}
	return 0, errors.Mark(errors.Newf("status %d: %s", response.StatusCode, detail.Message), errRejected)
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}

// read takes events and checks each.
func (a *answer) read(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			return errors.Mark(err, errBroken)
		}
		switch {
		case event.Type == "error":
			return errors.Mark(errors.New(event.Data), errCut)
		case event.Data == engineapi.Done:
			if !a.done {
				return errors.Mark(errors.New("end mark before the whole answer"), errWrong)
			}
			return nil
		}
		if err := a.take(event); err != nil {
			return errors.Mark(err, errWrong)
		}
	}
	return errBroken
}

func (a *answer) take(event sse.Event) error {
	var chunk engineapi.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return errors.Newf("unreadable event %q", event.Data)
	}
	a.lastID = event.LastEventID
	if chunk.Choices[0].FinishReason != nil {
		a.done = a.next == a.wanted
		if !a.done {
			return errors.Newf("answer of %d tokens ended at %d", a.wanted, a.next)
		}
		return nil
	}
	word := chunk.Choices[0].Content()
	if word != standin.Word(a.prompt, a.next) {
		return errors.Newf("token %d is %q, want %q", a.next, strings.TrimSpace(word), standin.Word(a.prompt, a.next))
	}
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	}
	a.previous = now
	a.next++
	return nil
}
