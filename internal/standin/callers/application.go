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

// doubleShare is the share of charges that a caller sends twice at once, as an
// impatient one does.
const doubleShare = 16

// call makes an application call until it is answered or patience ends.
func (c *callers) call(ctx context.Context, r workload.Request) {
	name := ""
	if !r.Kind.Retryable {
		name = key(r, c.config.Seed)
	}
	if name != "" && r.Number%doubleShare == 0 {
		go func() { _, _ = c.tryCall(ctx, r, name, 1) }()
	}
	last := errBroken
	for try, end := 0, time.Now().Add(patience); time.Now().Before(end); try++ {
		var wait time.Duration
		wait, last = c.tryCall(ctx, r, name, try)
		switch {
		case last == nil:
			c.report.called(name)
			return
		case errors.Is(last, errCut):
			c.report.unknown(name)
			return
		case errors.Is(last, errWrong):
			c.report.wrong(r, last)
			return
		}
		if ctx.Err() != nil || errors.Is(last, errRejected) {
			break
		}
		backoff(ctx, max(wait, 50*time.Millisecond))
	}
	if errors.Is(last, errRefused) {
		c.report.callRefused(name)
		return
	}
	c.report.gaveUp(r, last, false)
}

// tryCall sends one call. errCut says that its outcome is not known.
func (c *callers) tryCall(ctx context.Context, r workload.Request, name string, try int) (time.Duration, error) {
	body := r.Kind.Name + "/" + r.Tenant + "/" + key(r, c.config.Seed)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.router(r.Number, try)+"/app"+r.Kind.Route, strings.NewReader(body))
	if err != nil {
		return 0, errors.Mark(err, errRejected)
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+deployment.Key(r.Tenant))
	request.Header.Set("Content-Type", "text/plain")
	if name != "" {
		request.Header.Set("Idempotency-Key", name)
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
		return refusal(response)
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
