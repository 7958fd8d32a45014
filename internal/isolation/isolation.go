// Package isolation decides under which name tenants share cached prompts, so that nothing that a tenant has
// left there is used once that tenant is isolated. It is pure and deterministic.
package isolation

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxSharers bounds the tenants that are recorded as sharers. Beyond it a new scope begins.
const maxSharers = 10000

// Scope names the cached prompts that tenants share at present. What was cached in another scope is not
// found. It is empty in deployments in which no tenant that shared has been isolated.
type Scope string

// Tenants lists the tenants of a configuration, each in one of both.
type Tenants struct {
	// Sharing tenants share cached prompts, and Isolated ones do not.
	Sharing  []string `json:"sharing,omitempty"`
	Isolated []string `json:"isolated,omitempty"`
}

// History is what is known of a scope. It is replaced, never changed.
type History struct {
	Scope Scope `json:"scope,omitempty"`
	// Sharers are the tenants that have shared in the scope, sorted.
	Sharers []string `json:"sharers,omitempty"`
	// Partial is set if others may have shared in the scope before the configuration with which the history
	// begins, except those in Without, sorted.
	Partial bool     `json:"partial,omitempty"`
	Without []string `json:"without,omitempty"`
}

// ScopeWithout returns the scope of tenants that share cached prompts while others are isolated, where the
// history is not known. Only tenants that are not isolated have ever used it.
func ScopeWithout(isolated []string) Scope {
	if len(isolated) == 0 {
		return ""
	}
	hash := xxhash.New()
	for _, name := range sorted(isolated) {
		// Writing to a hash does not fail.
		_, _ = hash.WriteString(strconv.Itoa(len(name)) + ":" + name)
	}
	return Scope("without-" + strconv.FormatUint(hash.Sum64(), 36))
}

// First returns the history before the first configuration of a deployment.
func First() *History { return &History{} }

// Next returns the history after a configuration with a version and tenants. Before is nil if the history
// until then is not known, and so is the result if the tenants are not known.
func Next(before *History, version uint64, tenants *Tenants) *History {
	if tenants == nil {
		return nil
	}
	sharing, isolated := sorted(tenants.Sharing), sorted(tenants.Isolated)
	if before == nil {
		return &History{Scope: ScopeWithout(isolated), Sharers: sharing, Partial: true, Without: isolated}
	}
	sharers := sorted(slices.Concat(before.Sharers, sharing))
	if !before.separates(isolated) || intersect(sharing, before.Without) || len(sharers) > maxSharers {
		return &History{Scope: Scope("since-" + strconv.FormatUint(version, 10)), Sharers: sharing}
	}
	return &History{Scope: before.Scope, Sharers: sharers, Partial: before.Partial, Without: before.Without}
}

// separates reports whether none of some tenants has or may have shared in the scope.
func (h *History) separates(tenants []string) bool {
	if !h.Partial {
		return !intersect(tenants, h.Sharers)
	}
	return !slices.ContainsFunc(tenants, func(name string) bool { return !contains(h.Without, name) })
}

// intersect reports whether some names are among others, which are sorted.
func intersect(names, others []string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return contains(others, name) })
}

func contains(names []string, name string) bool {
	_, found := slices.BinarySearch(names, name)
	return found
}

// sorted returns the different names in order, nil for none.
func sorted(names []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(names)))
}
