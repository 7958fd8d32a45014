// Package vocabulary names the HTTP headers by which a deployment tells and is
// told things about a request. A router works with any vocabulary; Default is
// the product's own.
package vocabulary

import "net/http"

// Headers are header names in canonical form.
type Headers struct {
	// RequestID identifies one attempt of a caller. Back ends carry it back.
	RequestID string
	// Deadline is the time that is left, in milliseconds.
	Deadline string
	// Instance is the ID of the start of a back end that a request is meant
	// for; InstanceIs is how a back end tells its own.
	Instance         string
	ResponseInstance string
	// Tenant is the name of the tenant that holds the caller's key.
	Tenant string
	// Signature is a back end's signature over its answer.
	Signature string
	// NotRun on an answer says that the back end did not run the request.
	NotRun string
	// Draining on an answer says that the back end is about to end and wants no new work.
	Draining string
	// Limit on an answer is how many requests a second, a decimal number, the back end takes
	// from all machines together. An answer without it says that there is no limit.
	Limit string
	// LastEvent is the ID of the last event that the caller has.
	LastEvent string
	// Model, Usage ("prompt,most" in tokens) and Prefix ("id:tokens,...")
	// describe a generation.
	Model  string
	Usage  string
	Prefix string
	// Priority is 0 for the most urgent to 9.
	Priority string
	// Version is the weights version that a request is meant for; VersionIs is
	// how an answer tells the version it was made with.
	Version         string
	ResponseVersion string
	// Salt separates kept prompts; FetchFrom and SaveTo name where an engine
	// takes kept prompts from and sends them to.
	Salt      string
	FetchFrom string
	SaveTo    string
	// Forbidden are further headers that callers may not set: they are dropped.
	Forbidden []string
}

// Reserved are the headers that only a router sets. What a caller sends there is
// dropped.
func (h *Headers) Reserved() []string {
	return []string{h.Instance, h.Tenant, h.Priority, h.Version, h.Salt, h.FetchFrom, h.SaveTo}
}

// IsFrom tells whether an answer is of the start of a back end that its request named as
// instance. Another one at the address says 421, and says nothing of the start that was
// meant: what it asks for would hold for its successor or the one before.
func (h *Headers) IsFrom(instance string, answer *http.Response) bool {
	return answer.StatusCode != http.StatusMisdirectedRequest || answer.Header.Get(h.ResponseInstance) == instance
}

// Default is the product's own vocabulary.
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
		LastEvent:        "Last-Event-Id",
		Model:            "Model",
		Usage:            "Prompt-Usage",
		Prefix:           "Prompt-Parts",
		Priority:         "Priority",
		Version:          "Weights-Version",
		ResponseVersion:  "Weights-Version",
		Salt:             "Cache-Salt",
		FetchFrom:        "Cache-Fetch-From",
		SaveTo:           "Cache-Save-To",
	}
}
