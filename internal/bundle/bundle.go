// Package bundle defines the versioned configuration of a whole deployment: models, tenants,
// routes, shared prompts and events. Operators write a bundle in YAML and sign it, and the
// control nodes distribute it to all routers.
//
// Collections are maps keyed by name, so that the difference between two bundles stays small
// even with tens of thousands of tenants.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"quinceridge.example/quinceridge/internal/config"
)

// Bundle is a version of the configuration.
type Bundle struct {
	// Version is the version of the parent plus one. The first version is 1.
	Version uint64 `yaml:"version" json:"version" validate:"required,min=1"`
	// Parent is the digest of the bundle that this one replaces, as printed by `quinceridge
	// bundle status`. It is empty only in the first version.
	Parent string `yaml:"parent" json:"parent,omitempty"`
	// Approvals is the number of operators that must sign the next bundle.
	Approvals int `yaml:"approvals" json:"approvals" validate:"min=0,max=16"`
	// Operators maps operator names to hexadecimal Ed25519 public keys. Removing a name revokes
	// its key for all later bundles.
	Operators map[string]string `yaml:"operators" json:"operators,omitempty" validate:"dive,hexadecimal,len=64"`
	// ClaimRetention is the time for which an idempotency key is kept. A call that is repeated
	// later may run again. The control nodes keep all keys in memory, at about 450 bytes each
	// with a short answer. Default 2h.
	ClaimRetention time.Duration `yaml:"claim_retention" json:"claim_retention,omitempty" validate:"omitempty,min=1m,max=24h"`
	// Models maps model names to their settings.
	Models map[string]Model `yaml:"models" json:"models" validate:"required,min=1,dive"`
	// Classes maps the names of priority classes to their settings.
	Classes map[string]Class `yaml:"classes" json:"classes" validate:"required,min=1,dive"`
	// Tenants maps tenant names to their settings.
	Tenants map[string]Tenant `yaml:"tenants" json:"tenants" validate:"required,min=1,dive"`
	// Routes maps route names to application calls.
	Routes map[string]Route `yaml:"routes" json:"routes,omitempty" validate:"dive"`
	// SharedPrompts maps names to prompts that several tenants may share in an engine's cache.
	// The operators who sign the bundle vouch that the text contains no tenant's secrets.
	SharedPrompts map[string]SharedPrompt `yaml:"shared_prompts" json:"shared_prompts,omitempty" validate:"dive"`
	// Events maps names to traffic surges with a known start.
	Events map[string]Event `yaml:"events" json:"events,omitempty" validate:"dive"`
}

// Model configures a model.
type Model struct {
	// WeightsVersion is the minimum version of the weights that may answer.
	WeightsVersion int `yaml:"weights_version" json:"weights_version" validate:"required,min=1"`
	// TargetWeightsVersion is the version that engines are ordered to load, a quarter of them at
	// a time. Raise it first, and WeightsVersion once all engines have loaded it. Default: no
	// orders.
	TargetWeightsVersion int `yaml:"target_weights_version" json:"target_weights_version,omitempty" validate:"omitempty,min=1"`
	// HomeBlocks is the length, in blocks of 256 bytes, of the prefix whose digest determines a
	// prompt's home engine. Default 16.
	HomeBlocks int `yaml:"home_blocks" json:"home_blocks,omitempty" validate:"omitempty,min=4,max=4096"`
	// PrefillTokensPerSecond is the measured prefill rate of an engine.
	PrefillTokensPerSecond float64 `yaml:"prefill_tokens_per_second" json:"prefill_tokens_per_second" validate:"required,gt=0"`
	// TargetUtilization is the fraction of an engine's prefill rate that a prefix may use before
	// it gets another home engine. Default 1.5, which suits a dozen engines; 0.4 suits eighty
	// and more.
	TargetUtilization float64 `yaml:"target_utilization" json:"target_utilization,omitempty" validate:"omitempty,gt=0,max=10"`
	// LoadPenalty is the weight of recomputing a prompt, relative to waiting, when the whole
	// pool is busy. Default 6; 12 suits eighty engines and more.
	LoadPenalty float64 `yaml:"load_penalty" json:"load_penalty,omitempty" validate:"omitempty,gt=0,max=100"`
	// MaxOutputTokens is the maximum length of an answer.
	MaxOutputTokens int `yaml:"max_output_tokens" json:"max_output_tokens" validate:"required,min=1"`
	// Continuation allows another engine to continue the answer of a lost engine, from the
	// prompt and the text generated so far.
	Continuation bool `yaml:"continuation" json:"continuation,omitempty"`
}

// Class is a priority class.
type Class struct {
	// Priority orders queued requests, higher first. 0 to 100.
	Priority int `yaml:"priority" json:"priority" validate:"min=0,max=100"`
	// FirstToken is the maximum useful wait for the first token. A request with a longer
	// expected wait is rejected at once.
	FirstToken time.Duration `yaml:"first_token" json:"first_token" validate:"required,min=10ms,max=10m"`
}

// Tenant is a customer of the deployment.
type Tenant struct {
	// KeySHA256 is the hexadecimal SHA-256 of the tenant's API key.
	KeySHA256 string `yaml:"key_sha256" json:"key_sha256" validate:"required,hexadecimal,len=64"`
	// Weight is the tenant's share under contention, relative to other tenants.
	Weight float64 `yaml:"weight" json:"weight" validate:"required,gt=0,max=1000"`
	// Class is the priority class of requests that do not set one.
	Class string `yaml:"class" json:"class" validate:"required"`
}

// Route is an application call under /app/.
type Route struct {
	// Path is the call's path after /app, such as /charges.
	Path string `yaml:"path" json:"path" validate:"required,startswith=/"`
	// Retryable reports whether a call may run more than once. Calls on other routes need an
	// Idempotency-Key and run at most once.
	Retryable bool `yaml:"repeatable" json:"repeatable,omitempty"`
	// Deadline is the maximum duration of a call.
	Deadline time.Duration `yaml:"deadline" json:"deadline" validate:"required,min=10ms,max=10m"`
}

// SharedPrompt is a text that several tenants share.
type SharedPrompt struct {
	// SHA256 is the hexadecimal digest of the text.
	SHA256 string `yaml:"sha256" json:"sha256" validate:"required,hexadecimal,len=64"`
	// Bytes is the length of the text. Prompts that start with the text share it.
	Bytes int `yaml:"bytes" json:"bytes" validate:"required,min=1024"`
	// Tenants lists the tenants that may share the text.
	Tenants []string `yaml:"tenants" json:"tenants" validate:"required,min=1"`
}

// Event is a traffic surge with a known start.
type Event struct {
	// Start is the start of the surge, an RFC 3339 time.
	Start time.Time `yaml:"start" json:"start" validate:"required"`
	// Duration is the expected duration of the surge.
	Duration time.Duration `yaml:"duration" json:"duration" validate:"required,min=1s,max=24h"`
	// Tenants lists the tenants that take part.
	Tenants []string `yaml:"tenants" json:"tenants" validate:"required,min=1"`
	// Weight is a factor for the tenants' weights during the event.
	Weight float64 `yaml:"weight" json:"weight" validate:"required,gt=0,max=1000"`
}

// Check implements config.Checker. It validates references between the parts.
func (b *Bundle) Check() []config.Problem {
	var out []config.Problem
	if (b.Version == 1) != (b.Parent == "") {
		out = append(out, config.Problem{Path: "$.parent", Message: "must be empty in version 1 and the parent's digest in every later one"})
	}
	if b.Approvals > len(b.Operators) {
		out = append(out, config.Problem{Path: "$.approvals", Message: "exceeds the number of operators"})
	}
	for _, name := range sortedKeys(b.Tenants) {
		if _, ok := b.Classes[b.Tenants[name].Class]; !ok {
			out = append(out, config.Problem{Path: "$.tenants." + name + ".class", Message: "is not a class of this bundle"})
		}
	}
	out = append(out, b.checkKeys()...)
	for _, name := range sortedKeys(b.SharedPrompts) {
		out = append(out, b.checkTenants("$.shared_prompts."+name, b.SharedPrompts[name].Tenants)...)
	}
	for _, name := range sortedKeys(b.Events) {
		out = append(out, b.checkTenants("$.events."+name, b.Events[name].Tenants)...)
	}
	return append(out, b.checkRoutes()...)
}

func (b *Bundle) checkKeys() []config.Problem {
	var out []config.Problem
	owners := map[string]string{}
	for _, name := range sortedKeys(b.Tenants) {
		key := b.Tenants[name].KeySHA256
		if owner, taken := owners[key]; taken {
			out = append(out, config.Problem{Path: "$.tenants." + name + ".key_sha256", Message: "is the key of tenant " + owner + " too"})
		}
		owners[key] = name
	}
	return out
}

func (b *Bundle) checkRoutes() []config.Problem {
	var out []config.Problem
	paths := map[string]string{}
	for _, name := range sortedKeys(b.Routes) {
		path := b.Routes[name].Path
		if other, taken := paths[path]; taken {
			out = append(out, config.Problem{Path: "$.routes." + name + ".path", Message: "is the path of route " + other + " too"})
		}
		paths[path] = name
	}
	return out
}

func (b *Bundle) checkTenants(path string, tenants []string) []config.Problem {
	var out []config.Problem
	for _, tenant := range tenants {
		if _, ok := b.Tenants[tenant]; !ok {
			out = append(out, config.Problem{Path: path + ".tenants", Message: "contains an unknown tenant: " + tenant})
		}
	}
	return out
}

// Patience returns the maximum wait of a class: the shortest FirstToken among it and the classes
// of equal or higher priority, which a longer wait would delay.
func (b *Bundle) Patience(class Class) time.Duration {
	patience := class.FirstToken
	for _, other := range b.Classes {
		if other.Priority >= class.Priority {
			patience = min(patience, other.FirstToken)
		}
	}
	return patience
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// Load reads and validates the bundle file at path.
func Load(path string) (*Bundle, error) {
	b := &Bundle{}
	if err := config.Load(path, b); err != nil {
		return nil, err
	}
	return b, nil
}

// Canonical returns the canonical JSON encoding of the bundle, which digests and signatures are
// computed from.
func (b *Bundle) Canonical() ([]byte, error) {
	text, err := json.Marshal(b)
	return text, errors.Wrap(err, "encode bundle")
}

// Parse decodes a canonical encoding.
func Parse(canonical []byte) (*Bundle, error) {
	b := &Bundle{}
	if err := json.Unmarshal(canonical, b); err != nil {
		return nil, errors.Wrap(err, "decode bundle")
	}
	return b, nil
}

// Digest returns the hexadecimal SHA-256 of a canonical encoding.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Delta returns the JSON merge patch that turns one canonical encoding into another.
func Delta(from, to []byte) ([]byte, error) {
	patch, err := jsonpatch.CreateMergePatch(from, to)
	return patch, errors.Wrap(err, "compute bundle delta")
}

// ErrDigest is returned when a patched bundle does not have the expected digest.
var ErrDigest = errors.New("digest of the patched bundle does not match")

// Patch applies a delta and verifies the digest of the result.
func Patch(from, delta []byte, digest string) ([]byte, error) {
	patched, err := jsonpatch.MergePatch(from, delta)
	if err != nil {
		return nil, errors.Wrap(err, "apply bundle delta")
	}
	b, err := Parse(patched)
	if err != nil {
		return nil, err
	}
	canonical, err := b.Canonical()
	if err != nil {
		return nil, err
	}
	if Digest(canonical) != digest {
		return nil, ErrDigest
	}
	return canonical, nil
}
