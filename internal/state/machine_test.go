package state

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"quinceridge.example/quinceridge/internal/bundle"
)

const operator = "operator"

var privateKey = strings.Repeat("5a", 32)

func trustOf(t rapid.TB) Trust {
	public, _, err := bundle.Sign(privateKey, "")
	assert.NilError(t, err)
	return Trust{Operators: map[string]string{operator: public}, Approvals: 1}
}

func proposal(t rapid.TB, version uint64, parent, tenant string) (*Propose, string) {
	b := bundle.Bundle{Version: version, Parent: parent, Approvals: 1, Operators: trustOf(t).Operators,
		Tenants: map[string]bundle.Tenant{tenant: {Weight: 1}}}
	canonical, err := b.Canonical()
	assert.NilError(t, err)
	digest := bundle.Digest(canonical)
	_, signature, err := bundle.Sign(privateKey, digest)
	assert.NilError(t, err)
	return &Propose{Canonical: canonical, Signature: Signature{Operator: operator, Signature: signature}, Bootstrap: trustOf(t)}, digest
}

// driver applies commands and maintains the model of spec/bundle.pml and spec/claims.pml to
// compare with.
type driver struct {
	machine  *Machine
	index    uint64
	contents map[uint64]string // accepted and staged, by version
	head     uint64
	running  map[string]string // attempt by key
	granted  map[string]int    // grants by key
	voids    map[string]bool
}

func (d *driver) apply(t rapid.TB, c Command) Result {
	d.index++
	text, err := json.Marshal(c)
	assert.NilError(t, err)
	result, err := d.machine.Apply(d.index, 1, text)
	assert.NilError(t, err)
	return result
}

func (d *driver) claim(t rapid.TB, op ClaimOperation) ClaimResult {
	return d.apply(t, Command{Claims: &Claims{Operations: []ClaimOperation{op}}}).Claims[0]
}

func TestMachineMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &driver{machine: New(), contents: map[uint64]string{}, running: map[string]string{}, granted: map[string]int{}, voids: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"propose":  d.propose,
			"accept":   d.accept,
			"resend":   d.resend,
			"acquire":  d.acquire,
			"release":  d.release,
			"finish":   d.finish,
			"snapshot": d.snapshot,
			"":         d.check,
		})
	})
}

// propose submits a bundle of the head's version or of one of the next two.
func (d *driver) propose(t *rapid.T) {
	version := d.head + uint64(rapid.IntRange(0, 2).Draw(t, "version"))
	parent := ""
	if head := d.machine.Head(); head != nil {
		parent = head.Digest
	}
	p, digest := proposal(t, max(version, 1), parent, fmt.Sprintf("tenant-%d", rapid.IntRange(0, 2).Draw(t, "tenant")))
	result := d.apply(t, Command{Propose: p})
	if result.Code == CodeOK && result.Staged {
		assert.Equal(t, result.Version, d.head+1)
		if staged, ok := d.contents[result.Version]; ok {
			assert.Equal(t, staged, digest, "two contents for a version")
		}
		d.contents[result.Version] = digest
	}
}

func (d *driver) accept(t *rapid.T) {
	pending := d.machine.Pending()
	if pending == nil {
		return
	}
	stage := pending.Stage + uint64(rapid.IntRange(0, 1).Draw(t, "wrong stage"))
	result := d.apply(t, Command{Accept: &Accept{Digest: pending.Digest, Stage: stage}})
	if stage == pending.Stage && stage != 0 {
		assert.Equal(t, result.Code, CodeOK)
		d.head++
		return
	}
	assert.Equal(t, result.Code, CodeUnknown)
}

// resend applies a command with a request ID twice and expects equal results.
func (d *driver) resend(t *rapid.T) {
	parent := ""
	if head := d.machine.Head(); head != nil {
		parent = head.Digest
	}
	p, digest := proposal(t, d.head+1, parent, "resent")
	c := Command{RequestID: fmt.Sprintf("request-%d", d.index), Propose: p}
	first := d.apply(t, c)
	if first.Staged {
		d.contents[first.Version] = digest
	}
	assert.DeepEqual(t, d.apply(t, c), first)
}

func (d *driver) operation(t *rapid.T) ClaimOperation {
	return ClaimOperation{Tenant: "tenant", Key: fmt.Sprintf("key-%d", rapid.IntRange(0, 2).Draw(t, "key")),
		Attempt: fmt.Sprintf("attempt-%d", rapid.IntRange(0, 5).Draw(t, "attempt")), Request: "r"}
}

func (d *driver) acquire(t *rapid.T) {
	op := d.operation(t)
	// An attempt belongs to one key.
	op.Attempt = op.Key + "/" + op.Attempt
	op.Kind = ClaimAcquire
	result := d.claim(t, op)
	owner, held := d.running[op.Key]
	switch {
	case d.voids[op.Attempt]:
		assert.Equal(t, result.State, ClaimVoid)
	case !held || owner == op.Attempt && result.State == ClaimGranted:
		assert.Equal(t, result.State, ClaimGranted)
		d.running[op.Key] = op.Attempt
	default:
		assert.Assert(t, result.State == ClaimRunning || result.State == ClaimFinished, "%v", result.State)
	}
}

func (d *driver) release(t *rapid.T) {
	op := d.operation(t)
	op.Attempt = op.Key + "/" + op.Attempt
	op.Kind = ClaimRelease
	result := d.claim(t, op)
	if result.State == ClaimFinished {
		return
	}
	d.voids[op.Attempt] = true
	if d.running[op.Key] == op.Attempt {
		delete(d.running, op.Key)
	}
}

func (d *driver) finish(t *rapid.T) {
	op := d.operation(t)
	op.Attempt = op.Key + "/" + op.Attempt
	op.Kind, op.Outcome = ClaimFinish, &Outcome{Status: 200, Body: []byte(op.Attempt)}
	result := d.claim(t, op)
	if d.running[op.Key] != op.Attempt {
		assert.Equal(t, result.State, ClaimVoid)
		return
	}
	assert.Equal(t, result.State, ClaimFinished)
	assert.Equal(t, string(result.Outcome.Body), op.Attempt)
}

// snapshot replaces the machine with one that is restored from its snapshot.
func (d *driver) snapshot(t *rapid.T) {
	before, err := d.machine.Digest()
	assert.NilError(t, err)
	text, err := d.machine.Snapshot()
	assert.NilError(t, err)
	restored := New()
	assert.NilError(t, restored.Restore(text))
	after, err := restored.Digest()
	assert.NilError(t, err)
	assert.Equal(t, after, before)
	d.machine = restored
}

func (d *driver) check(t *rapid.T) {
	head := d.machine.Head()
	if head == nil {
		assert.Equal(t, d.head, uint64(0))
		return
	}
	assert.Equal(t, head.Version, d.head)
	assert.Equal(t, head.Digest, d.contents[head.Version])
}

func TestConcurrentProposalConflictNamesBothBundles(t *testing.T) {
	d := &driver{machine: New()}
	first, digest := proposal(t, 1, "", "a")
	second, other := proposal(t, 1, "", "b")
	assert.Equal(t, d.apply(t, Command{Propose: first}).Staged, true)
	result := d.apply(t, Command{Propose: second})
	assert.Equal(t, result.Code, CodeConflict)
	assert.Equal(t, result.Digest, other)
	assert.Equal(t, result.HeadDigest, digest)
}

func TestInvalidSignaturesAreRefused(t *testing.T) {
	d := &driver{machine: New()}
	p, _ := proposal(t, 1, "", "a")
	forged := *p
	forged.Signature.Signature = strings.Repeat("00", 64)
	assert.Equal(t, d.apply(t, Command{Propose: &forged}).Code, CodeRefused)
	unknown := *p
	unknown.Signature.Operator = "stranger"
	assert.Equal(t, d.apply(t, Command{Propose: &unknown}).Code, CodeRefused)
}

func TestClaimExpiresAfterRetention(t *testing.T) {
	d := &driver{machine: New()}
	acquire := func(at int64, attempt string) ClaimState {
		op := ClaimOperation{Kind: ClaimAcquire, Tenant: "t", Key: "k", Attempt: attempt, Request: "r"}
		return d.apply(t, Command{At: at, Claims: &Claims{Operations: []ClaimOperation{op}}}).Claims[0].State
	}
	assert.Equal(t, acquire(1000, "a"), ClaimGranted)
	assert.Equal(t, acquire(1000+defaultRetention.Milliseconds()-1, "b"), ClaimRunning)
	// A clock that goes back does not change the expiry.
	assert.Equal(t, acquire(5, "c"), ClaimRunning)
	assert.Equal(t, acquire(1000+defaultRetention.Milliseconds(), "d"), ClaimGranted)
}

func TestLongOutcomeIsTruncated(t *testing.T) {
	d := &driver{machine: New()}
	op := ClaimOperation{Kind: ClaimAcquire, Tenant: "t", Key: "k", Attempt: "a", Request: "r"}
	d.claim(t, op)
	op.Kind, op.Outcome = ClaimFinish, &Outcome{Status: 200, Body: make([]byte, maxOutcomeBody+1)}
	result := d.claim(t, op)
	assert.Assert(t, result.Outcome.Truncated)
	assert.Equal(t, len(result.Outcome.Body), 0)
	op.Kind, op.Request = ClaimAcquire, "another"
	assert.Equal(t, d.claim(t, op).State, ClaimMismatch)
}

func TestRoutersCountOnlyAfterAdmission(t *testing.T) {
	d := &driver{machine: New()}
	router := func(name string) *Register { return &Register{Routers: []Router{{Name: name}}} }
	d.apply(t, Command{Register: router("a")})
	d.apply(t, Command{Register: router("b")})
	g := d.machine.Registry()
	assert.Equal(t, len(g.Members), 1)
	assert.Equal(t, len(g.Joining), 1)
	only := func(names string) func(string) bool {
		return func(name string) bool { return strings.Contains(names, name) }
	}
	assert.Assert(t, !g.HasMajority(only("b")))
	assert.Assert(t, !g.HasMajority(only("a"))) // half is not a majority
	assert.Assert(t, g.HasMajority(only("ab")))
	assert.Equal(t, d.apply(t, Command{Admit: &Admit{Version: g.Version - 1}}).Code, CodeUnknown)
	d.apply(t, Command{Admit: &Admit{Version: g.Version}})
	assert.Equal(t, len(d.machine.Registry().Members), 2)
	assert.Equal(t, d.apply(t, Command{Retire: &Retire{Names: []string{"x"}}}).Code, CodeUnknown)
	// No router is admitted while a bundle is staged, or if the command names a bundle that
	// is not in force.
	d.apply(t, Command{Register: router("c")})
	p, digest := proposal(t, 1, "", "x")
	staged := d.apply(t, Command{Propose: p})
	assert.Assert(t, staged.Staged)
	assert.Equal(t, d.apply(t, Command{Admit: &Admit{Version: g.Version}}).Code, CodeUnknown)
	d.apply(t, Command{Accept: &Accept{Digest: digest, Stage: d.machine.Pending().Stage}})
	assert.Equal(t, d.apply(t, Command{Admit: &Admit{Version: g.Version}}).Code, CodeUnknown)
	assert.Equal(t, d.apply(t, Command{Admit: &Admit{Version: g.Version, Head: digest}}).Code, CodeOK)
	d.apply(t, Command{Retire: &Retire{Names: []string{"c"}}})
	d.apply(t, Command{Retire: &Retire{Names: []string{"a"}}})
	assert.Equal(t, len(d.machine.Registry().Members), 1)
}
