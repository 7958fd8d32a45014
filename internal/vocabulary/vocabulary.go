// Package vocabulary defines the names of the HTTP headers that callers, routers and back ends
// exchange. A deployment may use names of its own; Default returns the product's.
package vocabulary

import "net/http"

// Headers are header names in canonical form.
type Headers struct {
	// RequestID identifies an attempt of a caller. Back ends return it.
	RequestID string
	// Deadline is the remaining time in milliseconds.
	Deadline string
	// Instance is the ID of the start of a back end that a request is meant for, and
	// ResponseInstance that of the one that responds.
	Instance         string
	ResponseInstance string
	// Tenant is the name of the tenant that the caller's key belongs to.
	Tenant string
	// Signature is a back end's signature over its response.
	Signature string
	// NotRun in a response means that the back end did not run the request.
	NotRun string
	// Draining in a response means that the back end is about to stop and accepts no new work.
	Draining string
	// Limit in a response is the number of requests per second, a decimal number, that the back
	// end accepts from all machines together. There is no limit if it is missing.
	Limit string
	// Brittle in a response is the number of requests per second, a decimal number, that the back end
	// may reject for want of capacity without failing. It holds while responses name it.
	Brittle string
	// LastEvent is the ID of the last event that the caller received.
	LastEvent string
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller
	// resumes.
	Resumes string
	// Model, Usage ("prompt,most" in tokens) and Prefix ("id:tokens,...") describe a generation.
	Model  string
	Usage  string
	Prefix string
	// Priority is 0 to 9, 0 being the most urgent.
	Priority string
	// Version is the weights version that a request is meant for, and ResponseVersion the one
	// that a response was generated with.
	Version         string
	ResponseVersion string
	// Salt separates cached prompts. FetchFrom and SaveTo are the addresses that an engine
	// fetches cached prompts from and saves them to.
	Salt      string
	FetchFrom string
	SaveTo    string
	// CachedTokens in a response is the number of prompt tokens that the engine had in its cache or
	// fetched. Empty if engines do not report it.
	CachedTokens string
	// Forbidden are further headers that are removed from callers' requests.
	Forbidden []string
}

// Reserved returns the headers that only routers set. They are removed from callers' requests.
func (h *Headers) Reserved() []string {
	return []string{h.Instance, h.Tenant, h.Priority, h.Version, h.Salt, h.FetchFrom, h.SaveTo}
}

// IsFrom reports whether a response is from the start of a back end that the request was
// addressed to as instance. Another start at the same address responds with status 421, and the
// other headers of that response do not apply to the intended one.
func (h *Headers) IsFrom(instance string, answer *http.Response) bool {
	return answer.StatusCode != http.StatusMisdirectedRequest || answer.Header.Get(h.ResponseInstance) == instance
}

// Default returns the product's own header names.
func Default() Headers {
	return Headers{
		RequestID:        "X-Request-Id",
		Deadline:         "Request-Deadline-Ms",
		Instance:         "Engine-Incarnation",
		ResponseInstance: "Engine-Incarnation",
		Tenant:           "Tenant",
		Signature:        "Response-Signature",
		NotRun:           "Not-Run",
		Draining:         "Engine-Draining",
		Limit:            "Engine-Limit",
		Brittle:          "Engine-Brittle",
		LastEvent:        "Last-Event-Id",
		Resumes:          "Resumes",
		Model:            "Model",
		Usage:            "Prompt-Usage",
		Prefix:           "Prompt-Parts",
		Priority:         "Priority",
		Version:          "Weights-Version",
		ResponseVersion:  "Weights-Version",
		Salt:             "Cache-Salt",
		FetchFrom:        "Cache-Fetch-From",
		SaveTo:           "Cache-Save-To",
		CachedTokens:     "Cached-Tokens",
	}
}
