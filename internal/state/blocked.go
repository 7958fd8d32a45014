package state

import (
	"slices"

	"quinceridge.example/quinceridge/internal/poison"
)

// rememberedBlocked bounds how many requests are blocked at once, and
// rememberedCleared how many that were. The oldest go first.
const (
	rememberedBlocked = 256
	rememberedCleared = 256
)

// Block keeps a request from back ends: those named have ended while they ran it.
type Block struct {
	Request  poison.Digest `json:"request"`
	Backends []string      `json:"backends"`
}

// Unblock lets a request reach back ends again, and voids what was held against it.
type Unblock struct {
	Request poison.Digest `json:"request"`
}

// BlockedRequest is a request that is kept from back ends.
type BlockedRequest struct {
	Request poison.Digest `json:"request"`
	// Backends are the back ends that ended while they ran it.
	Backends []string `json:"backends"`
	// At is when it was blocked, in Unix milliseconds, for people to read, and Revision
	// the log index.
	At       int64  `json:"at"`
	Revision uint64 `json:"revision"`
}

// ClearedRequest is a request that is blocked no more.
type ClearedRequest struct {
	Request  poison.Digest `json:"request"`
	Revision uint64        `json:"revision"`
}

func (m *Machine) block(index uint64, b *Block) Result {
	d := &m.data.Deployment
	if d.IsBlocked(b.Request) {
		return Result{Code: CodeOK}
	}
	d.Blocked = append(d.Blocked, BlockedRequest{Request: b.Request, Backends: b.Backends, At: m.data.Now, Revision: index})
	if len(d.Blocked) > rememberedBlocked {
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
	if len(d.Cleared) > rememberedCleared {
		d.Cleared = d.Cleared[1:]
	}
	d.BlockedRevision = index
	return Result{Code: CodeOK}
}

// IsBlocked tells whether a request is kept from back ends.
func (d *Deployment) IsBlocked(request poison.Digest) bool {
	return slices.ContainsFunc(d.Blocked, func(b BlockedRequest) bool { return b.Request == request })
}
