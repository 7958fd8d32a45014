package callers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/deployment"
	"quinceridge.example/quinceridge/internal/standin/appworker"
	"quinceridge.example/quinceridge/internal/workload"
)

// duplicateInterval selects one in so many non-retryable calls to be sent twice concurrently.
const duplicateInterval = 16

// call makes an application call, with retries until retryTimeout.
func (c *callers) call(ctx context.Context, r workload.Request) {
	idempotencyKey := ""
	if !r.Kind.Retryable {
		idempotencyKey = requestKey(r, c.config.Seed)
	}
	if idempotencyKey != "" && r.Number%duplicateInterval == 0 {
		go func() { _, _ = c.tryCall(ctx, r, idempotencyKey, 1) }()
	}
	last := errBroken
	for attempt, end := 0, time.Now().Add(retryTimeout); time.Now().Before(end); attempt++ {
		var wait time.Duration
		wait, last = c.tryCall(ctx, r, idempotencyKey, attempt)
		switch {
		case last == nil:
			c.report.callAnswered(idempotencyKey)
			return
		case errors.Is(last, errAborted):
			c.report.callOutcomeUnknown(idempotencyKey)
			return
		case errors.Is(last, errWrong):
			c.report.wrong(r, last)
			return
		}
		if ctx.Err() != nil || errors.Is(last, errInvalid) {
			break
		}
		backoff(ctx, max(wait, 50*time.Millisecond))
	}
	if errors.Is(last, errRefused) {
		c.report.callRefused(idempotencyKey)
		return
	}
	c.report.failed(r, last, false)
}

// tryCall makes one attempt and returns the retry delay. It returns errAborted if the outcome of the
// call is unknown.
func (c *callers) tryCall(ctx context.Context, r workload.Request, idempotencyKey string, attempt int) (time.Duration, error) {
	body := r.Kind.Name + "/" + r.Tenant + "/" + requestKey(r, c.config.Seed)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router(r.Number, attempt)+"/app"+r.Kind.Route, strings.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, errInvalid)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+deployment.Key(r.Tenant))
	request.Header.Set("Content-Type", "text/plain")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, errors.Mark(err, errBroken)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusConflict {
		return retryAfter(response), errBroken
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, errors.Mark(err, errBroken)
	}
	var receipt appworker.Receipt
	if err := json.Unmarshal(data, &receipt); err != nil || receipt.Echo != body {
		return 0, errors.Mark(errors.Newf("receipt %q for call %q", data, body), errWrong)
	}
	return 0, nil
}
