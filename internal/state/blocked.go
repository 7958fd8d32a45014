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

// Block stops a poison request from being sent to back ends.
type Block struct {
	Request poison.Digest `json:"request"`
	// Backends are the back ends that ended while they ran the request.
	Backends []string `json:"backends"`
}

// Unblock allows a blocked request to be sent to back ends again and discards the evidence
// against it.
type Unblock struct {
	Request poison.Digest `json:"request"`
}

// BlockedRequest is a request that must not be sent to back ends.
type BlockedRequest struct {
	Request poison.Digest `json:"request"`
	// Backends are the back ends that ended while they ran the request.
	Backends []string `json:"backends"`
	// At is the time of the block in Unix milliseconds, for display only, and Revision the
	// log index of the block.
	At       int64  `json:"at"`
	Revision uint64 `json:"revision"`
}

// ClearedRequest is a request that was unblocked.
type ClearedRequest struct {
	Request poison.Digest `json:"request"`
	// Revision is the log index of the Unblock command.
	Revision uint64 `json:"revision"`
}

func (m *Machine) block(index uint64, b *Block) Result {
	d := &m.data.Deployment
	if d.IsBlocked(b.Request) {
		return Result{Code: CodeOK}
	}
	d.Blocked = append(d.Blocked, BlockedRequest{Request: b.Request, Backends: b.Backends, At: m.data.Now, Revision: index})
	if len(d.Blocked) > maxBlocked {
		d.Blocked = d.Blocked[1:]
	}
	d.BlockedRevision = index
	return Result{Code: CodeOK}
}

func (m *Machine) unblock(index uint64, u *Unblock) Result {
	d := &m.data.Deployment
	if !d.IsBlocked(u.Request) {
		return Result{Code: CodeUnknown, Message: "the request is not blocked"}
	}
	d.Blocked = slices.DeleteFunc(slices.Clone(d.Blocked), func(b BlockedRequest) bool { return b.Request == u.Request })
	d.Cleared = append(d.Cleared, ClearedRequest{Request: u.Request, Revision: index})
	if len(d.Cleared) > maxCleared {
		d.Cleared = d.Cleared[1:]
	}
	d.BlockedRevision = index
	return Result{Code: CodeOK}
}

// IsBlocked reports whether a request is blocked.
func (d *Deployment) IsBlocked(request poison.Digest) bool {
	return slices.ContainsFunc(d.Blocked, func(b BlockedRequest) bool { return b.Request == request })
}
