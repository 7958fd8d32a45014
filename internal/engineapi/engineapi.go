// Package engineapi is the published protocol of the inference engines: an
// OpenAI-style completion API with fencing headers, a status call, cache events
// and fenced orders. The router speaks it; the stand-in engine serves it.
package engineapi

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Paths of the engine's HTTP API.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathStatus          = "/engine/status"
	PathCacheEvents     = "/engine/cache-events"
	PathOrders          = "/engine/orders"
	PathCancel          = "/engine/cancel"
)

// Headers of a completion request.
const (
	// HeaderRequestID names the request. An engine that holds a request of the
	// same name resumes it in place of starting another.
	HeaderRequestID = "X-Request-Id"
	// HeaderIncarnation is the engine incarnation that the caller means.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderTenant is the tenant whose cache entries may be used.
	HeaderTenant = "Cache-Tenant"
	// HeaderShared is "name;bytes" of a declared shared prompt.
	HeaderShared = "Cache-Shared"
	// HeaderMinimumWeights is the least weights version that may answer.
	HeaderMinimumWeights = "Weights-Version-Min"
	// HeaderPriority orders waiting requests, larger first.
	HeaderPriority = "Request-Priority"
	// HeaderResumeIndex is the index of the first token wanted.
	HeaderResumeIndex = "Resume-Index"
	// HeaderResumeOnly makes the engine refuse when it does not hold the
	// request any more.
	HeaderResumeOnly = "Resume-Only"
	// HeaderWeightsVersion is the weights version that answers, in responses.
	HeaderWeightsVersion = "Weights-Version"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// ErrorKind is the machine-readable type of an engine's refusal. Each refusal
// says that the request was not run.
type ErrorKind string

// The refusals of an engine.
const (
	KindIncarnation ErrorKind = "incarnation_mismatch"
	KindWeights     ErrorKind = "weights_too_old"
	KindModel       ErrorKind = "model_not_loaded"
	KindDraining    ErrorKind = "draining"
	KindQueueFull   ErrorKind = "queue_full"
	KindNotHeld     ErrorKind = "request_not_held"
	KindFenced      ErrorKind = "fenced"
	KindInvalid     ErrorKind = "invalid_request"
)

// ErrorBody is the body of an error response, in the shape of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorKind `json:"type"`
	Code    string    `json:"code,omitempty"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest is the part of a request body that routing reads. Fields
// that are not listed pass through untouched.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Continuation is text that was already generated for this prompt. The
	// engine goes on after it, from the index in HeaderResumeIndex.
	Continuation string `json:"continuation,omitempty"`
}

// Text returns the prompt as the one text that caching works on.
func (r *CompletionRequest) Text() []byte {
	if len(r.Messages) == 0 {
		return []byte(r.Prompt)
	}
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString("<|" + m.Role + "|>")
		text.WriteString(m.Content)
	}
	return []byte(text.String())
}

// Chunk is the data of one event of a stream.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer. There is always exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content returns the text of a choice, whichever API it belongs to.
func (c *Choice) Content() string {
	switch {
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	}
	return c.Text
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails says how much of the prompt was cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Status is an engine's own account of itself. It lags behind the truth.
type Status struct {
	ID             string `json:"id"`
	Incarnation    string `json:"incarnation"`
	Model          string `json:"model"`
	WeightsVersion int    `json:"weights_version"`
	Draining       bool   `json:"draining"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	PrefillTokens  int    `json:"prefill_tokens"`
	DecodeSlots    int    `json:"decode_slots"`
}

// Fence orders commands: an engine refuses any that is not above the highest
// it has seen.
type Fence struct {
	// Term is the consensus term of the leader that gives the order.
	Term uint64 `json:"term"`
	// Sequence is the log index of the order.
	Sequence uint64 `json:"sequence"`
}

// Less tells whether f is below other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

// OrderKind names an order.
type OrderKind string

// The orders that an engine takes.
const (
	OrderLoad    OrderKind = "load"
	OrderDrain   OrderKind = "drain"
	OrderResume  OrderKind = "resume"
	OrderPrewarm OrderKind = "prewarm"
)

// Order is a fenced order to an engine.
type Order struct {
	Fence Fence     `json:"fence"`
	Kind  OrderKind `json:"kind"`
	// Incarnation is the incarnation that the order is meant for.
	Incarnation string `json:"incarnation"`
	// Model and WeightsVersion belong to a load order.
	Model          string `json:"model,omitempty"`
	WeightsVersion int    `json:"weights_version,omitempty"`
	// Prompt, Tenant and Shared belong to a prewarm order.
	Prompt string `json:"prompt,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Shared string `json:"shared,omitempty"`
}

// OrderReply says what became of an order.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// Highest is the highest fence that the engine has seen.
	Highest Fence `json:"highest"`
}

// FormatShared writes the value of HeaderShared.
func FormatShared(name string, bytes int) string {
	if name == "" {
		return ""
	}
	return name + ";" + strconv.Itoa(bytes)
}

// ParseShared reads the value of HeaderShared.
func ParseShared(value string) (name string, bytes int, err error) {
	if value == "" {
		return "", 0, nil
	}
	name, number, found := strings.Cut(value, ";")
	bytes, err = strconv.Atoi(number)
	if !found || err != nil || bytes < 0 {
		return "", 0, errors.Newf("%s is not name;bytes", HeaderShared)
	}
	return name, bytes, nil
}

// DecodeError reads an error response body. Foreign bodies give a detail with
// an empty type.
func DecodeError(body []byte) ErrorDetail {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return ErrorDetail{Message: "unreadable error body"}
	}
	return decoded.Error
}

// CacheEvent says that a block entered or left an engine's cache.
type CacheEvent struct {
	// Block is the digest of the chain that ends in the block.
	Block uint64 `json:"block"`
	// Depth is the block's place in its chain, from 1.
	Depth int `json:"depth"`
	// Stored is true when the block entered and false when it was evicted.
	Stored bool `json:"stored"`
}

// CachePage is a page of the cache events after a number that the asker names.
type CachePage struct {
	Incarnation string `json:"incarnation"`
	// First is the number of the first event of the page, from 1. A gap to the
	// number that was asked for says that events were lost.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}
