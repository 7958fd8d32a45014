package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/standin"
)

const (
	maxBody       = 64 << 20 // bytes
	defaultOutput = 16       // tokens, if max_tokens is absent
)

func writeError(w http.ResponseWriter, status int, kind engineapi.ErrorKind, message string) {
	standin.WriteJSON(w, status, engineapi.ErrorBody{Error: engineapi.ErrorDetail{Message: message, Type: kind}})
}

// incoming is a decoded request with its headers.
type incoming struct {
	body        engineapi.CompletionRequest
	id          string
	tenant      string
	shared      string
	sharedBytes int
	weights     int
	priority    int
	resumeIndex int
	resumeOnly  bool
}

func decode(r *http.Request) (incoming, error) {
	in := incoming{id: r.Header.Get(engineapi.HeaderRequestID), tenant: r.Header.Get(engineapi.HeaderTenant),
		resumeOnly: r.Header.Get(engineapi.HeaderResumeOnly) == "true"}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return in, errors.Wrap(err, "read body")
	}
	if err := json.Unmarshal(body, &in.body); err != nil {
		return in, errors.Wrap(err, "decode body")
	}
	for header, field := range map[string]*int{engineapi.HeaderMinimumWeights: &in.weights,
		engineapi.HeaderPriority: &in.priority, engineapi.HeaderResumeIndex: &in.resumeIndex} {
		text := r.Header.Get(header)
		if text == "" {
			continue
		}
		if *field, err = strconv.Atoi(text); err != nil {
			return in, errors.Wrapf(err, "header %s", header)
		}
	}
	in.shared, in.sharedBytes, err = engineapi.ParseShared(r.Header.Get(engineapi.HeaderShared))
	if in.id == "" {
		in.id = "direct-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	return in, err
}

// complete serves a new or resumed completion.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	in, err := decode(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, engineapi.KindInvalid, err.Error())
		return
	}
	h, rejected := e.attach(r, &in)
	if rejected != nil {
		writeError(w, rejected.status, rejected.kind, rejected.message)
		return
	}
	defer e.detach(h)
	w.Header().Set(engineapi.HeaderWeightsVersion, strconv.Itoa(e.config.WeightsVersion))
	if in.body.Stream {
		e.stream(w, r, h, &in)
		return
	}
	e.writeCompletion(w, r, h)
}

type apiError struct {
	status  int
	kind    engineapi.ErrorKind
	message string
}

// attach returns the held request with the ID, or enqueues a new one. The caller must detach it.
func (e *Engine) attach(r *http.Request, in *incoming) (*held, *apiError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wanted := r.Header.Get(engineapi.HeaderIncarnation); wanted != "" && wanted != e.incarnation {
		return nil, &apiError{http.StatusConflict, engineapi.KindIncarnation, "this is incarnation " + e.incarnation}
	}
	if h := e.held[in.id]; h != nil && h.tenant == in.tenant && in.resumeIndex >= h.first {
		h.attached++
		return h, nil
	}
	if in.resumeOnly {
		return nil, &apiError{http.StatusGone, engineapi.KindNotHeld, "the request is not held"}
	}
	if rejected := e.checkAdmission(in); rejected != nil {
		return nil, rejected
	}
	return e.enqueue(in)
}

func (e *Engine) checkAdmission(in *incoming) *apiError {
	switch {
	case e.draining:
		return &apiError{http.StatusServiceUnavailable, engineapi.KindDraining, "the engine is draining"}
	case in.body.Model != e.name:
		return &apiError{http.StatusConflict, engineapi.KindModel, "the engine serves model " + e.name}
	case in.weights > e.weights:
		return &apiError{http.StatusConflict, engineapi.KindWeights, fmt.Sprintf("the engine has weights version %d", e.weights)}
	case e.held[in.id] != nil:
		return &apiError{http.StatusConflict, engineapi.KindInvalid, "the request's name is taken"}
	}
	return nil
}

func (e *Engine) enqueue(in *incoming) (*held, *apiError) {
	prompt := in.body.Text()
	scope := prefix.Scope{Tenant: in.tenant, Shared: in.shared, SharedBytes: in.sharedBytes}
	chain, tokens := prefix.Digest(append(prompt, in.body.Continuation...), scope)
	total := in.body.MaxTokens
	if total == 0 {
		total = defaultOutput
	}
	if in.resumeIndex >= total {
		return nil, &apiError{http.StatusBadRequest, engineapi.KindInvalid, "the resume index is past the answer's end"}
	}
	err := e.model.Add(enginemodel.Request{ID: in.id, Chain: chain, PromptTokens: tokens, OutputTokens: total - in.resumeIndex,
		FirstIndex: in.resumeIndex, Priority: in.priority})
	if err != nil {
		return nil, &apiError{http.StatusServiceUnavailable, engineapi.KindQueueFull, err.Error()}
	}
	h := &held{id: in.id, tenant: in.tenant, prompt: standin.PromptDigest(prompt), tokens: tokens, first: in.resumeIndex,
		total: total, ready: in.resumeIndex, attached: 1, changed: make(chan struct{})}
	e.held[in.id] = h
	e.signal()
	return h, nil
}

func (e *Engine) detach(h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h.attached--
	if h.attached == 0 && !h.done {
		h.since = time.Now()
	}
}

// observe returns a copy of the request and a channel that is closed at its next change.
func (e *Engine) observe(h *held) (snapshot held, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *h, h.changed
}

// stream sends tokens as server-sent events when they become ready.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, h *held, in *incoming) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	for next := in.resumeIndex; ; {
		now, changed := e.observe(h)
		if now.canceled {
			return
		}
		var out strings.Builder
		for ; next < now.ready; next++ {
			writeEvent(&out, next, e.chunk(&now, chat, next))
		}
		if now.done {
			writeEvent(&out, now.total, e.final(&now, chat))
			out.WriteString("data: " + engineapi.Done + "\n\n")
		}
		if _, err := io.WriteString(w, out.String()); err != nil {
			return
		}
		flusher.Flush()
		if now.done {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-ticker.C:
			if _, err := io.WriteString(w, ": waiting\n\n"); err != nil {
				return
			}
			flusher.Flush()
		}
	}
}

func writeEvent(out *strings.Builder, index int, chunk engineapi.Chunk) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	fmt.Fprintf(out, "id: %d\ndata: %s\n\n", index, data)
}

func (e *Engine) chunk(h *held, chat bool, index int) engineapi.Chunk {
	word := standin.Word(h.prompt, index)
	chunk := engineapi.Chunk{ID: h.id, Object: "text_completion", Model: e.config.Model, Choices: []engineapi.Choice{{Text: word}}}
	if chat {
		chunk.Object = "chat.completion.chunk"
		chunk.Choices[0] = engineapi.Choice{Delta: &engineapi.Message{Content: word}}
	}
	return chunk
}

// final returns the event after the last token, with the usage.
func (e *Engine) final(h *held, chat bool) engineapi.Chunk {
	chunk := e.chunk(h, chat, h.total)
	reason := "length"
	chunk.Choices[0].FinishReason = &reason
	chunk.Choices[0].Text = ""
	if chat {
		chunk.Choices[0].Delta = &engineapi.Message{}
	}
	chunk.Usage = &engineapi.Usage{PromptTokens: h.tokens, CompletionTokens: h.total, TotalTokens: h.tokens + h.total,
		Details: engineapi.UsageDetails{CachedTokens: h.cached}}
	return chunk
}

// writeCompletion sends the complete answer as one JSON object.
func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, h *held) {
	for {
		now, changed := e.observe(h)
		if now.canceled {
			return
		}
		if now.done {
			chunk := e.final(&now, false)
			var text strings.Builder
			for i := range now.total {
				text.WriteString(standin.Word(now.prompt, i))
			}
			chunk.Choices[0].Text = text.String()
			standin.WriteJSON(w, http.StatusOK, chunk)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// cancel handles the cancellation of a request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[r.Header.Get(engineapi.HeaderRequestID)]
	if h != nil && h.tenant == r.Header.Get(engineapi.HeaderTenant) && !h.done {
		e.drop(h)
	}
	w.WriteHeader(http.StatusNoContent)
}
