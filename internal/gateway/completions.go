package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/dispatch"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/flowcontrol"
	"quinceridge.example/quinceridge/internal/listener"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// generation is a checked completion request.
type generation struct {
	started time.Time
	tenant  string
	class   string
	model   bundle.Model
	request engineapi.CompletionRequest
	job     *dispatch.Job
	admit   flowcontrol.Request
}

// completions serves both completion APIs.
func (g *Gateway) completions(c echo.Context) error {
	config, err := g.current()
	if err != nil {
		return err
	}
	generation, err := g.prepare(c, config)
	if err != nil {
		return err
	}
	g.metrics.open.Inc()
	defer g.metrics.open.Dec()
	generation.job.Span = g.config.Traces.Start(generation.job.ID, generation.tenant)
	generation.job.Span.Step("received", "bundle "+strconv.FormatUint(config.BundleID.Version, 10))
	err = g.generate(c, generation)
	if err != nil {
		generation.job.Span.Step("failed", err.Error())
		g.logger.Debug("request failed", "request_id", generation.job.ID, "tenant", generation.tenant, "error", err)
		return err
	}
	generation.job.Span.Step("answered", "")
	g.metrics.answered()
	return nil
}

// generate places, admits and runs a request.
func (g *Gateway) generate(c echo.Context, r *generation) error {
	sink := newSink(c, g, r)
	if r.job.Resume != nil {
		return sink.finish(g.config.Dispatcher.Resume(c.Request().Context(), r.job, sink))
	}
	decision, err := g.config.Dispatcher.Place(&r.job.Place)
	if err != nil {
		return notRun(http.StatusServiceUnavailable, "no engine serves model "+r.request.Model+" now", time.Second)
	}
	if err := g.admit(r, decision); err != nil {
		return err
	}
	return sink.finish(g.config.Dispatcher.Run(c.Request().Context(), r.job, decision, sink))
}

func (g *Gateway) admit(r *generation, decision scheduling.Decision) error {
	missing := max(r.job.Place.PromptTokens-decision.ExpectedCachedTokens, 0)
	prefill := time.Duration(float64(missing) / r.model.PrefillTokensPerSecond * float64(time.Second))
	r.admit.Expected = decision.Endpoint.Wait + prefill
	r.admit.Cost = missing + r.request.MaxTokens
	verdict := g.admission.admit(g.config.Now(), r.admit)
	if verdict.Admitted {
		return nil
	}
	r.job.Span.Step("refused", verdict.Reason)
	return notRun(http.StatusTooManyRequests, "the first token would come too late: "+verdict.Reason, verdict.RetryAfter)
}

// prepare checks a request and describes it for placement and admission.
func (g *Gateway) prepare(c echo.Context, config *board.Config) (*generation, error) {
	name, tenant, err := authenticate(c, config)
	if err != nil {
		return nil, err
	}
	body, fields, err := g.readObject(c)
	if err != nil {
		return nil, err
	}
	r := &generation{started: time.Now(), tenant: name}
	if err := json.Unmarshal(body, &r.request); err != nil {
		return nil, invalid(http.StatusBadRequest, "", "the body does not fit: "+err.Error())
	}
	if err := r.check(c, config); err != nil {
		return nil, err
	}
	class, err := chooseClass(c, config, tenant)
	if err != nil {
		return nil, err
	}
	weights, err := minimumWeights(c, r.model)
	if err != nil {
		return nil, err
	}
	resume, err := resumeToken(c, &r.request)
	if err != nil {
		return nil, err
	}
	r.class = class
	r.describe(c, config, tenant, weights, fields)
	r.job.Resume = resume
	return r, nil
}

// check validates the fields of the request.
func (r *generation) check(c echo.Context, config *board.Config) error {
	model, known := config.Bundle.Models[r.request.Model]
	if !known {
		return invalid(http.StatusNotFound, "model", "no such model: "+strconv.Quote(r.request.Model))
	}
	r.model = model
	chat := strings.HasSuffix(c.Path(), "/chat/completions")
	switch {
	case chat && len(r.request.Messages) == 0:
		return invalid(http.StatusBadRequest, "messages", "messages are required")
	case !chat && r.request.Prompt == "":
		return invalid(http.StatusBadRequest, "prompt", "a prompt is required")
	case r.request.Continuation != "":
		return invalid(http.StatusBadRequest, "continuation", "continuation is set by routers only")
	case r.request.MaxTokens < 0 || r.request.MaxTokens > model.MaxOutputTokens:
		return invalid(http.StatusBadRequest, "max_tokens", "max_tokens must be from 1 to "+strconv.Itoa(model.MaxOutputTokens))
	}
	return nil
}

func (r *generation) describe(c echo.Context, config *board.Config, tenant bundle.Tenant, weights int, fields map[string]json.RawMessage) {
	text := r.request.Text()
	scope := config.Scope(r.tenant, text)
	chain, tokens := prefix.Digest(text, scope)
	class := config.Bundle.Classes[r.class]
	r.job = &dispatch.Job{
		ID:   requestID(c),
		Path: c.Path(),
		Body: fields,
		Place: scheduling.Request{Model: r.request.Model, MinimumWeights: weights, Chain: chain, PromptTokens: tokens,
			Tenant: r.tenant},
		Scope:        scope,
		Priority:     class.Priority,
		Continuation: r.model.Continuation,
	}
	r.admit = flowcontrol.Request{Tenant: r.tenant, Weight: weight(config, r.tenant, tenant, r.started),
		Priority: class.Priority, FirstToken: config.Bundle.Patience(class)}
}

func authenticate(c echo.Context, config *board.Config) (string, bundle.Tenant, error) {
	key, found := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
	name, tenant, known := config.Tenant(key)
	if !found || !known {
		return "", tenant, &APIError{Status: http.StatusUnauthorized, Outcome: OutcomeNotRun, Type: "authentication_error",
			Message: "the API key is missing or belongs to no tenant"}
	}
	return name, tenant, nil
}

// readBody reads a body within the limits of size and time.
func (g *Gateway) readBody(c echo.Context) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, g.config.MaxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalid(http.StatusRequestEntityTooLarge, "", "the body is larger than "+strconv.FormatInt(g.config.MaxBody, 10)+" bytes")
	case errors.Is(err, listener.ErrMemory):
		return nil, notRun(http.StatusServiceUnavailable, err.Error(), time.Second)
	case err != nil:
		return nil, invalid(http.StatusRequestTimeout, "", "the body did not arrive: "+err.Error())
	}
	// The read timeout is for the body; the response may take longer.
	_ = http.NewResponseController(c.Response().Writer).SetReadDeadline(time.Time{})
	return body, nil
}

// readObject reads a body that is a JSON object.
func (g *Gateway) readObject(c echo.Context) ([]byte, map[string]json.RawMessage, error) {
	body, err := g.readBody(c)
	if err != nil {
		return nil, nil, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, nil, invalid(http.StatusBadRequest, "", "the body is not a JSON object: "+err.Error())
	}
	if fields == nil {
		return nil, nil, invalid(http.StatusBadRequest, "", "the body is not a JSON object")
	}
	return body, fields, nil
}

func chooseClass(c echo.Context, config *board.Config, tenant bundle.Tenant) (string, error) {
	name := c.Request().Header.Get(headerClass)
	if name == "" {
		return tenant.Class, nil
	}
	if _, known := config.Bundle.Classes[name]; !known {
		return "", invalid(http.StatusBadRequest, headerClass, "no such priority class: "+strconv.Quote(name))
	}
	return name, nil
}

// minimumWeights returns the higher of the weights versions that the bundle and the caller
// require.
func minimumWeights(c echo.Context, model bundle.Model) (int, error) {
	text := c.Request().Header.Get(headerMinimumWeights)
	if text == "" {
		return model.WeightsVersion, nil
	}
	requested, err := strconv.Atoi(text)
	if err != nil || requested < 0 {
		return 0, invalid(http.StatusBadRequest, headerMinimumWeights, "must be a whole number")
	}
	return max(requested, model.WeightsVersion), nil
}

func resumeToken(c echo.Context, r *engineapi.CompletionRequest) (*dispatch.Token, error) {
	text := c.Request().Header.Get(headerLastEventID)
	if text == "" || !r.Stream {
		return nil, nil
	}
	token, err := dispatch.ParseToken(text)
	if err != nil {
		return nil, invalid(http.StatusBadRequest, headerLastEventID, err.Error())
	}
	return &token, nil
}

func sortedModels(config *board.Config) []string {
	var names []string
	for name := range config.Bundle.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
