// Package engineapi defines the protocol of the inference engines: an OpenAI-style completion
// API with fencing headers, a status call, cache events and fenced orders. The router is its
// client, and the fake engine of the rehearsals implements it.
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
	// HeaderRequestID identifies the request. An engine that has a request with this ID resumes
	// it instead of starting another.
	HeaderRequestID = "X-Request-Id"
	// HeaderIncarnation is the engine incarnation that the request is meant for.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderTenant is the tenant whose cache entries may be used.
	HeaderTenant = "Cache-Tenant"
	// HeaderShared is "name;bytes" of a declared shared prompt.
	HeaderShared = "Cache-Shared"
	// HeaderMinimumWeights is the minimum weights version that may answer.
	HeaderMinimumWeights = "Weights-Version-Min"
	// HeaderPriority orders queued requests, higher first.
	HeaderPriority = "Request-Priority"
	// HeaderResumeIndex is the index of the first token to send.
	HeaderResumeIndex = "Resume-Index"
	// HeaderResumeOnly makes the engine reject the request unless it can resume it.
	HeaderResumeOnly = "Resume-Only"
	// HeaderWeightsVersion is the weights version of a response.
	HeaderWeightsVersion = "Weights-Version"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// ErrorKind is the machine-readable reason for which an engine rejected a request, which it did
// not run.
type ErrorKind string

// Reasons of rejections.
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

// ErrorBody is the body of an error response, as in the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string    `json:"message"`
	Type    ErrorKind `json:"type"`
	Code    string    `json:"code,omitempty"`
}

// Message is a message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompletionRequest contains the fields of a request body that routing uses. All other fields
// are forwarded unchanged.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Continuation is text that was already generated for this prompt. The engine continues
	// after it, from the index in HeaderResumeIndex.
	Continuation string `json:"continuation,omitempty"`
}

// Text returns the prompt as a single text, as used for caching.
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

// Chunk is the data of a stream event.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is an alternative of an answer. There is always exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Content returns the text of a choice, for any of the APIs.
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

// UsageDetails reports how much of the prompt was cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Status is the state that an engine reports. It may be out of date.
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

// Fence orders commands: an engine rejects a command whose fence is not above the highest so
// far.
type Fence struct {
	// Term is the Raft term of the leader that gives the order.
	Term uint64 `json:"term"`
	// Sequence is the log index of the order.
	Sequence uint64 `json:"sequence"`
}

// Less reports whether f is below other.
func (f Fence) Less(other Fence) bool {
	if f.Term != other.Term {
		return f.Term < other.Term
	}
	return f.Sequence < other.Sequence
}

// OrderKind is a kind of order.
type OrderKind string

// Kinds of orders.
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
	// Incarnation is the engine incarnation that the order is meant for.
	Incarnation string `json:"incarnation"`
	// Model and WeightsVersion are set in a load order.
	Model          string `json:"model,omitempty"`
	WeightsVersion int    `json:"weights_version,omitempty"`
	// Prompt, Tenant and Shared are set in a prewarm order.
	Prompt string `json:"prompt,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Shared string `json:"shared,omitempty"`
}

// OrderReply is the reply to an order.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// Highest is the highest fence that the engine has received.
	Highest Fence `json:"highest"`
}

// FormatShared formats the value of HeaderShared.
func FormatShared(name string, bytes int) string {
	if name == "" {
		return ""
	}
	return name + ";" + strconv.Itoa(bytes)
}

// ParseShared parses the value of HeaderShared.
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

// DecodeError decodes the body of an error response. A body in another format results in a
// detail with an empty type.
func DecodeError(body []byte) ErrorDetail {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil {
		return ErrorDetail{Message: "unreadable error body"}
	}
	return decoded.Error
}

// CacheEvent reports that a block was added to or evicted from an engine's cache.
type CacheEvent struct {
	// Block is the digest of the chain of blocks that ends with this one.
	Block uint64 `json:"block"`
	// Depth is the block's position in its chain, from 1.
	Depth int `json:"depth"`
	// Stored is true if the block was added, and false if it was evicted.
	Stored bool `json:"stored"`
}

// CachePage is a page of cache events that follow a requested number.
type CachePage struct {
	Incarnation string `json:"incarnation"`
	// First is the number of the page's first event, from 1. A gap after the requested number
	// means that events were lost.
	First  uint64       `json:"first"`
	Events []CacheEvent `json:"events"`
}
