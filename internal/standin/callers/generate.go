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

// answer is the received part of an answer.
type answer struct {
	next         int       // index of the next expected token
	lastID       string    // ID of the last event
	sent         time.Time // start of the time to first token; reset by refusals and restarts
	first        time.Time // time of the first token
	previous     time.Time // time of the last token
	done         bool
	promptDigest uint64
	outputTokens int
	requestID    string
}

// Errors of a failed attempt.
var (
	errRefused      = errors.New("refused without being run")
	errBroken       = errors.New("connection lost")
	errAborted      = errors.New("aborted by the service")
	errNotResumable = errors.New("answer can no longer be resumed")
	errWrong        = errors.New("wrong answer")
	errInvalid      = errors.New("rejected as invalid")
)

// generate requests a streamed answer, with retries and resumes until retryTimeout.
func (c *callers) generate(ctx context.Context, r workload.Request) {
	text := r.Text()
	body, err := json.Marshal(engineapi.CompletionRequest{Model: c.config.Deployment.Model, Prompt: text,
		MaxTokens: r.Kind.OutputTokens, Stream: true})
	if err != nil {
		return
	}
	fresh := answer{promptDigest: standin.PromptDigest([]byte(text)), outputTokens: r.Kind.OutputTokens, sent: time.Now()}
	a := fresh
	last := errBroken
	for attempt, end := 0, time.Now().Add(retryTimeout); time.Now().Before(end); attempt++ {
		var wait time.Duration
		wait, last = c.tryGenerate(ctx, r, body, &a, attempt)
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
			c.report.disconnected(a.next > 0)
			backoff(ctx, 50*time.Millisecond)
		case errors.Is(last, errAborted), errors.Is(last, errNotResumable):
			// The answer cannot be resumed: restart the request.
			c.report.restarted()
			backoff(ctx, 50*time.Millisecond)
			a = fresh
			a.sent = time.Now()
		}
		if ctx.Err() != nil || errors.Is(last, errInvalid) {
			break
		}
	}
	c.report.failed(r, last, a.next > 0)
}

// tryGenerate makes one attempt, which resumes a partial answer, and returns the retry delay.
func (c *callers) tryGenerate(ctx context.Context, r workload.Request, body []byte, a *answer, attempt int) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router(r.Number, attempt)+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, errInvalid)
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
		return responseError(response)
	}
	return 0, a.readStream(response.Body)
}

// responseError returns the retry delay and the error for an error response.
func responseError(response *http.Response) (time.Duration, error) {
	body, _ := io.ReadAll(io.LimitReader(response.Body, 64<<10))
	detail := engineapi.DecodeError(body)
	switch {
	case response.StatusCode == http.StatusGone:
		return 0, errNotResumable
	case response.StatusCode == http.StatusTooManyRequests, response.StatusCode == http.StatusServiceUnavailable:
		return retryAfter(response), errRefused
	case response.StatusCode == http.StatusBadGateway:
		return 0, errAborted
	}
	return 0, errors.Mark(errors.Newf("status %d: %s", response.StatusCode, detail.Message), errInvalid)
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}

// readStream reads and checks events until the end marker. It returns nil if the answer is complete.
func (a *answer) readStream(body io.Reader) error {
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: 1 << 20}) {
		if err != nil {
			return errors.Mark(err, errBroken)
		}
		switch {
		case event.Type == "error":
			return errors.Mark(errors.New(event.Data), errAborted)
		case event.Data == engineapi.Done:
			if !a.done {
				return errors.Mark(errors.New("end marker before the answer was complete"), errWrong)
			}
			return nil
		}
		if err := a.addEvent(event); err != nil {
			return errors.Mark(err, errWrong)
		}
	}
	return errBroken
}

// addEvent checks an event against the expected token and adds it to the answer.
func (a *answer) addEvent(event sse.Event) error {
	var chunk engineapi.Chunk
	if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil || len(chunk.Choices) != 1 {
		return errors.Newf("malformed event %q", event.Data)
	}
	a.lastID = event.LastEventID
	if chunk.Choices[0].FinishReason != nil {
		a.done = a.next == a.outputTokens
		if !a.done {
			return errors.Newf("answer of %d tokens ended at %d", a.outputTokens, a.next)
		}
		return nil
	}
	word := chunk.Choices[0].Content()
	if word != standin.Word(a.promptDigest, a.next) {
		return errors.Newf("token %d is %q, want %q", a.next, strings.TrimSpace(word), standin.Word(a.promptDigest, a.next))
	}
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	}
	a.previous = now
	a.next++
	return nil
}
