package state

import (
	"slices"

	"quinceridge.example/quinceridge/internal/poison"
)

// maxBlocked bounds the blocked requests and maxCleared the cleared ones. The oldest are
// evicted first.
const (
	maxBlocked = 256
	maxCleared = 256
)

// Block keeps a poison request, or all requests whose prompts contain a set of parts, from back ends.
type Block struct {
	// Request is the digest of the request, or that of the set of parts.
	Request poison.Digest `json:"request"`
	// Parts are shared parts of prompts in ascending order; empty for a request.
	Parts []poison.Digest `json:"parts,omitempty"`
	// Backends are the back ends that ended while they ran it; none for a block by an operator.
	Backends []string `json:"backends"`
	// Presumed are those of them of which only overdue heartbeats show that they ended.
	Presumed []string `json:"presumed,omitempty"`
	// Doubtful is set if the back ends may have ended for another cause.
	Doubtful bool `json:"doubtful,omitempty"`
	// Trials is the number of requests that may have been let through for a trial, and Confirmed is set
	// once a back end ended under one. A Block of what is blocked already changes only these: it raises
	// the number and confirms.
	Trials    int  `json:"trials,omitempty"`
	Confirmed bool `json:"confirmed,omitempty"`
}

// Unblock allows what was blocked to be sent to back ends again and discards the evidence against it
// unless KeepEvidence is set.
type Unblock struct {
	Request      poison.Digest `json:"request"`
	KeepEvidence bool          `json:"keep_evidence,omitempty"`
}

// BlockedRequest is a request, or a set of parts of prompts, that must not be sent to back ends.
type BlockedRequest struct {
	Request poison.Digest   `json:"request"`
	Parts   []poison.Digest `json:"parts,omitempty"`
	// Backends are the back ends that ended while they ran it.
	Backends []string `json:"backends"`
	// Presumed are those of them of which only overdue heartbeats show that they ended.
	Presumed []string `json:"presumed,omitempty"`
	Doubtful bool     `json:"doubtful,omitempty"`
	// Trials is the number of requests that may have been let through for a trial, and Confirmed is set
	// once a back end ended under one.
	Trials    int  `json:"trials,omitempty"`
	Confirmed bool `json:"confirmed,omitempty"`
	// At is the time of the block in Unix milliseconds, for display only, and Revision the
	// log index of the block.
	At       int64  `json:"at"`
	Revision uint64 `json:"revision"`
}

// Rule returns what is blocked.
func (b *BlockedRequest) Rule() poison.Block {
	return poison.Block{ID: b.Request, Parts: b.Parts, Backends: b.Backends, Presumed: b.Presumed}
}

// ClearedRequest is a request, or a set of parts, that was unblocked.
type ClearedRequest struct {
	Request poison.Digest   `json:"request"`
	Parts   []poison.Digest `json:"parts,omitempty"`
	// Revision is the log index of the Unblock command.
	Revision uint64 `json:"revision"`
}

func (m *Machine) block(index uint64, b *Block) Result {
	d := &m.data.Deployment
	if i := d.blockedIndex(b.Request); i >= 0 {
		known := d.Blocked[i]
		if b.Trials > known.Trials || (b.Confirmed && !known.Confirmed) {
			known.Trials, known.Confirmed = max(b.Trials, known.Trials), known.Confirmed || b.Confirmed
			d.Blocked = slices.Clone(d.Blocked)
			d.Blocked[i] = known
			d.BlockedRevision = index
		}
		return Result{Code: CodeOK}
	}
	d.Blocked = append(d.Blocked, BlockedRequest{Request: b.Request, Parts: b.Parts, Backends: b.Backends, Presumed: b.Presumed, Doubtful: b.Doubtful, Trials: b.Trials, Confirmed: b.Confirmed, At: m.data.Now, Revision: index})
	if len(d.Blocked) > maxBlocked {
		d.Blocked = d.Blocked[1:]
	}
	d.BlockedRevision = index
	return Result{Code: CodeOK}
}

func (m *Machine) unblock(index uint64, u *Unblock) Result {
	d := &m.data.Deployment
	i := d.blockedIndex(u.Request)
	if i < 0 {
		return Result{Code: CodeUnknown, Message: "the request is not blocked"}
	}
	cleared := ClearedRequest{Request: u.Request, Parts: d.Blocked[i].Parts, Revision: index}
	d.Blocked = slices.Delete(slices.Clone(d.Blocked), i, i+1)
	if !u.KeepEvidence {
		d.Cleared = append(d.Cleared, cleared)
	}
	if len(d.Cleared) > maxCleared {
		d.Cleared = d.Cleared[1:]
	}
	d.BlockedRevision = index
	return Result{Code: CodeOK}
}

// CountBlocked returns the number of blocked requests and that of blocked sets of parts.
func (d *Deployment) CountBlocked() (requests, parts int) {
	for _, b := range d.Blocked {
		if len(b.Parts) > 0 {
			parts++
		}
	}
	return len(d.Blocked) - parts, parts
}

// IsBlocked reports whether a request, or exactly this set of parts, is blocked.
func (d *Deployment) IsBlocked(request poison.Digest) bool { return d.blockedIndex(request) >= 0 }

// blockedIndex returns the position of a block, or -1.
func (d *Deployment) blockedIndex(request poison.Digest) int {
	return slices.IndexFunc(d.Blocked, func(b BlockedRequest) bool { return b.Request == request })
}
