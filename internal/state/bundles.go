package state

import (
	"fmt"
	"sort"

	"quinceridge.example/quinceridge/internal/bundle"
)

// propose makes a bundle that follows the head the pending one. Only one bundle can be
// pending; a concurrent proposal of another gets a conflict that names both.
func (m *Machine) propose(index uint64, p *Propose) Result {
	b, err := bundle.Parse(p.Canonical)
	if err != nil {
		return Result{Code: CodeRefused, Message: err.Error()}
	}
	digest := bundle.Digest(p.Canonical)
	result := Result{Code: CodeOK, Version: b.Version, Digest: digest}
	if head := m.data.Head; head != nil && head.Digest == digest {
		result.Message = "this bundle is in force already"
		return result
	}
	if pending := m.data.Pending; pending != nil && pending.Digest != digest {
		return conflict(result, pending, "another bundle waits for approval")
	}
	if !m.followsHead(b) {
		return m.conflictWithHead(result)
	}
	if m.data.Pending == nil {
		m.data.Pending = &Proposal{Version: b.Version, Digest: digest, Canonical: p.Canonical, Signatures: map[string]string{}}
	}
	return m.sign(index, result, p.Signature, p.Bootstrap)
}

func (m *Machine) followsHead(b *bundle.Bundle) bool {
	if m.data.Head == nil {
		return b.Version == 1 && b.Parent == ""
	}
	return b.Version == m.data.Head.Version+1 && b.Parent == m.data.Head.Digest
}

func (m *Machine) conflictWithHead(r Result) Result {
	if m.data.Head == nil {
		r.Code = CodeConflict
		r.Message = "no bundle is in force: the first one has version 1 and no parent"
		return r
	}
	return conflict(r, m.data.Head, "the parent is not the bundle in force")
}

func conflict(r Result, with *Proposal, reason string) Result {
	r.Code = CodeConflict
	r.HeadVersion, r.HeadDigest = with.Version, with.Digest
	r.Message = fmt.Sprintf("%s: yours is version %d (%.12s), the other is version %d (%.12s)",
		reason, r.Version, r.Digest, with.Version, with.Digest)
	return r
}

func (m *Machine) approve(index uint64, a *Approve) Result {
	pending := m.data.Pending
	if pending == nil || pending.Digest != a.Digest {
		if m.data.Head != nil && m.data.Head.Digest == a.Digest {
			return Result{Code: CodeOK, Version: m.data.Head.Version, Digest: a.Digest, Message: "this bundle is in force already"}
		}
		return Result{Code: CodeUnknown, Digest: a.Digest, Message: "no such bundle waits for approval"}
	}
	return m.sign(index, Result{Code: CodeOK, Version: pending.Version, Digest: pending.Digest}, a.Signature, a.Bootstrap)
}

// sign adds a signature to the pending bundle and stages the bundle once it has enough. An
// empty signature adds none.
func (m *Machine) sign(index uint64, r Result, s Signature, bootstrap Trust) Result {
	trust := m.data.Trust
	if m.data.Head == nil {
		trust = bootstrap
	}
	pending := m.data.Pending
	if s.Operator != "" {
		key, known := trust.Operators[s.Operator]
		if !known || !bundle.Verify(key, pending.Digest, s.Signature) {
			r.Code = CodeRefused
			r.Message = "the signature is not by a known operator: " + s.Operator
			return r
		}
		pending.Signatures[s.Operator] = s.Signature
	}
	if pending.Stage == 0 && len(pending.Signatures) >= trust.Approvals {
		pending.Stage = index
	}
	r.Staged = pending.Stage != 0
	if !r.Staged {
		r.Message = fmt.Sprintf("signed by %d of %d operators needed", len(pending.Signatures), trust.Approvals)
	}
	return r
}

// withdraw drops a pending bundle that lacks approvals. A staged bundle cannot be withdrawn:
// routers that lost contact with the control group may already have put it in force.
func (m *Machine) withdraw(w *Withdraw) Result {
	if m.data.Pending == nil || m.data.Pending.Digest != w.Digest {
		return Result{Code: CodeUnknown, Digest: w.Digest, Message: "no such bundle waits"}
	}
	if m.data.Pending.Stage != 0 {
		return Result{Code: CodeRefused, Version: m.data.Pending.Version, Digest: w.Digest, Message: "the bundle is staged and will be in force; propose a later one"}
	}
	withdrawn := m.data.Pending
	m.data.Pending = nil
	return Result{Code: CodeOK, Version: withdrawn.Version, Digest: withdrawn.Digest, Message: "withdrawn"}
}

// accept makes the staged bundle the head. A duplicate names a stage that no longer exists and
// changes nothing.
func (m *Machine) accept(index uint64, a *Accept) Result {
	pending := m.data.Pending
	if pending == nil || pending.Digest != a.Digest || pending.Stage == 0 || pending.Stage != a.Stage {
		return Result{Code: CodeUnknown, Digest: a.Digest, Message: "no such stage"}
	}
	b, err := bundle.Parse(pending.Canonical)
	if err != nil {
		return Result{Code: CodeRefused, Message: err.Error()}
	}
	m.data.Head, m.data.Pending = pending, nil
	m.data.Retention = b.ClaimRetention.Milliseconds()
	m.data.Trust = Trust{Operators: b.Operators, Approvals: b.Approvals}
	m.data.History = append(m.data.History, Version{Version: pending.Version, Digest: pending.Digest,
		Operators: signers(pending), Index: index, At: m.data.Now})
	if len(m.data.History) > maxHistory {
		m.data.History = m.data.History[1:]
	}
	return Result{Code: CodeOK, Version: pending.Version, Digest: pending.Digest}
}

func signers(p *Proposal) []string {
	names := make([]string, 0, len(p.Signatures))
	for name := range p.Signatures {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
