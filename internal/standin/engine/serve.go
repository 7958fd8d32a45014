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
	maxBody       = 64 << 20
	defaultOutput = 16
)

func refuse(w http.ResponseWriter, status int, kind engineapi.ErrorKind, message string) {
	standin.WriteJSON(w, status, engineapi.ErrorBody{Error: engineapi.ErrorDetail{Message: message, Type: kind}})
}

// incoming is a decoded request with its headers.
type incoming struct {
	body     engineapi.CompletionRequest
	id       string
	tenant   string
	shared   string
	sharedTo int
	weights  int
	priority int
	index    int
	only     bool
}

func decode(r *http.Request) (incoming, error) {
	in := incoming{id: r.Header.Get(engineapi.HeaderRequestID), tenant: r.Header.Get(engineapi.HeaderTenant),
		only: r.Header.Get(engineapi.HeaderResumeOnly) == "true"}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return in, errors.Wrap(err, "read body")
	}
	if err := json.Unmarshal(body, &in.body); err != nil {
		return in, errors.Wrap(err, "decode body")
	}
	for header, field := range map[string]*int{engineapi.HeaderMinimumWeights: &in.weights,
		engineapi.HeaderPriority: &in.priority, engineapi.HeaderResumeIndex: &in.index} {
		text := r.Header.Get(header)
		if text == "" {
			continue
		}
		if *field, err = strconv.Atoi(text); err != nil {
			return in, errors.Wrapf(err, "header %s", header)
		}
	}
	in.shared, in.sharedTo, err = engineapi.ParseShared(r.Header.Get(engineapi.HeaderShared))
	if in.id == "" {
		in.id = "direct-" + strconv.FormatInt(time.Now().UnixNano(), 36)
	}
	return in, err
}

// complete serves a completion, new or resumed.
func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	in, err := decode(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, engineapi.KindInvalid, err.Error())
		return
	}
	h, refused := e.attach(r, &in)
	if refused != nil {
		refuse(w, refused.status, refused.kind, refused.message)
		return
	}
	defer e.detach(h)
	w.Header().Set(engineapi.HeaderWeightsVersion, strconv.Itoa(e.config.WeightsVersion))
	if in.body.Stream {
		e.stream(w, r, h, &in)
		return
	}
	e.whole(w, r, h)
}

type refusal struct {
	status  int
	kind    engineapi.ErrorKind
	message string
}

// attach finds the held request, or takes a new one.
func (e *Engine) attach(r *http.Request, in *incoming) (*held, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if wanted := r.Header.Get(engineapi.HeaderIncarnation); wanted != "" && wanted != e.incarnation {
		return nil, &refusal{http.StatusConflict, engineapi.KindIncarnation, "this is incarnation " + e.incarnation}
	}
	if h := e.held[in.id]; h != nil && h.tenant == in.tenant && in.index >= h.first {
		h.attached++
		return h, nil
	}
	if in.only {
		return nil, &refusal{http.StatusGone, engineapi.KindNotHeld, "the request is not held"}
	}
	if refused := e.admissible(in); refused != nil {
		return nil, refused
	}
	return e.take(in)
}

func (e *Engine) admissible(in *incoming) *refusal {
	switch {
	case e.draining:
		return &refusal{http.StatusServiceUnavailable, engineapi.KindDraining, "the engine is draining"}
	case in.body.Model != e.name:
		return &refusal{http.StatusConflict, engineapi.KindModel, "the engine serves model " + e.name}
	case in.weights > e.weights:
		return &refusal{http.StatusConflict, engineapi.KindWeights, fmt.Sprintf("the engine has weights version %d", e.weights)}
	case e.held[in.id] != nil:
		return &refusal{http.StatusConflict, engineapi.KindInvalid, "the request's name is taken"}
	}
	return nil
}

func (e *Engine) take(in *incoming) (*held, *refusal) {
	prompt := in.body.Text()
	scope := prefix.Scope{Tenant: in.tenant, Shared: in.shared, SharedBytes: in.sharedTo}
	chain, tokens := prefix.Digest(append(prompt, in.body.Continuation...), scope)
	total := in.body.MaxTokens
	if total == 0 {
		total = defaultOutput
	}
	if in.index >= total {
		return nil, &refusal{http.StatusBadRequest, engineapi.KindInvalid, "the resume index is past the answer's end"}
	}
	err := e.model.Add(enginemodel.Request{ID: in.id, Chain: chain, PromptTokens: tokens, OutputTokens: total - in.index,
		FirstIndex: in.index, Priority: in.priority})
	if err != nil {
		return nil, &refusal{http.StatusServiceUnavailable, engineapi.KindQueueFull, err.Error()}
	}
	h := &held{id: in.id, tenant: in.tenant, prompt: standin.PromptDigest(prompt), tokens: tokens, first: in.index,
		total: total, ready: in.index, attached: 1, changed: make(chan struct{})}
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

// look returns how far a request is, and what closes when it changes.
func (e *Engine) look(h *held) (snapshot held, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *h, h.changed
}

// stream sends tokens as they come.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, h *held, in *incoming) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	alive := time.NewTicker(keepalive)
	defer alive.Stop()
	chat := strings.HasSuffix(r.URL.Path, "/chat/completions")
	for next := in.index; ; {
		now, changed := e.look(h)
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
		case <-alive.C:
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

// final is the event after the last token.
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

// whole sends the answer as one object, for callers without a router.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, h *held) {
	for {
		now, changed := e.look(h)
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

// cancel drops a request.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[r.Header.Get(engineapi.HeaderRequestID)]
	if h != nil && h.tenant == r.Header.Get(engineapi.HeaderTenant) && !h.done {
		e.drop(h)
	}
	w.WriteHeader(http.StatusNoContent)
}
