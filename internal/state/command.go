// Package state is the replicated state machine of the control group: bundles
// and their approval, the registry of routers, at-most-once claims and orders
// to engines. It is pure and deterministic: equal commands in equal order give
// equal states, results and digests on every node.
package state

import (
	"encoding/json"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Command is one entry of the replicated log. Exactly one of the pointer
// fields is set.
type Command struct {
	// RequestID names an operator's command. A command that is sent again with
	// the same name gets the first answer.
	RequestID string `json:"request_id,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds. The state machine
	// never lets its own time go back.
	At int64 `json:"at"`

	Propose  *Propose  `json:"propose,omitempty"`
	Approve  *Approve  `json:"approve,omitempty"`
	Withdraw *Withdraw `json:"withdraw,omitempty"`
	Accept   *Accept   `json:"accept,omitempty"`
	Register *Register `json:"register,omitempty"`
	Admit    *Admit    `json:"admit,omitempty"`
	Retire   *Retire   `json:"retire,omitempty"`
	Claims   *Claims   `json:"claims,omitempty"`
	Order    *Order    `json:"order,omitempty"`

	Configure   *Configure   `json:"configure,omitempty"`
	NameWeights *NameWeights `json:"name_weights,omitempty"`
	Enrol       *Enrol       `json:"enrol,omitempty"`
	Depart      *Depart      `json:"depart,omitempty"`
	Hold        *Hold        `json:"hold,omitempty"`
	Block       *Block       `json:"block,omitempty"`
	Unblock     *Unblock     `json:"unblock,omitempty"`
}

// Signature is one operator's sign-off of a bundle digest.
type Signature struct {
	Operator  string `json:"operator"`
	Signature string `json:"signature"`
}

// Propose offers a bundle for approval.
type Propose struct {
	// Canonical is the bundle's canonical text.
	Canonical json.RawMessage `json:"canonical"`
	Signature Signature       `json:"signature"`
	// Bootstrap is the trust of the leader's settings. It is used only while
	// no bundle was ever accepted.
	Bootstrap Trust `json:"bootstrap"`
}

// Trust says whose signatures count and how many are needed.
type Trust struct {
	// Operators maps names to public keys in hex.
	Operators map[string]string `json:"operators,omitempty"`
	Approvals int               `json:"approvals"`
}

// Approve signs off a proposed bundle.
type Approve struct {
	Digest    string    `json:"digest"`
	Signature Signature `json:"signature"`
	Bootstrap Trust     `json:"bootstrap"`
}

// Withdraw drops a bundle that has not been staged.
type Withdraw struct {
	Digest string `json:"digest"`
}

// Accept puts the staged bundle in force. The leader proposes it once the
// routers' leases allow.
type Accept struct {
	Digest string `json:"digest"`
	// Stage is the log index at which the bundle was staged.
	Stage uint64 `json:"stage"`
}

// Router is a registered router.
type Router struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Peer is the address at which other routers reach it.
	Peer string `json:"peer"`
}

// Register asks for routers to join the registry, or changes the addresses of
// ones that are there. A new router joins fully by Admit.
type Register struct {
	Routers []Router `json:"routers"`
}

// Admit makes the joining routers members of the registry. The leader proposes
// it once a majority of the members, and one of members and joining routers
// together, holds the registry of this version and has this bundle in force:
// else a majority of the larger registry could miss a bundle that a majority of
// the smaller one acknowledged.
type Admit struct {
	Version uint64 `json:"version"`
	// Head is the digest of the bundle in force, empty for none.
	Head string `json:"head,omitempty"`
}

// Retire removes routers that are known to be gone for good.
type Retire struct {
	Names []string `json:"names"`
}

// Claims is a batch of operations on at-most-once claims, done in order.
type Claims struct {
	Operations []ClaimOperation `json:"operations"`
}

// ClaimKind names an operation on a claim.
type ClaimKind string

// The operations on claims.
const (
	// ClaimAcquire asks for the right to run a key's one attempt.
	ClaimAcquire ClaimKind = "acquire"
	// ClaimFinish stores the outcome of an attempt that was run.
	ClaimFinish ClaimKind = "finish"
	// ClaimRelease says that an attempt was not run and never will be.
	ClaimRelease ClaimKind = "release"
)

// ClaimOperation is one operation on a claim.
type ClaimOperation struct {
	Kind   ClaimKind `json:"kind"`
	Tenant string    `json:"tenant"`
	// Key is the caller's idempotency key.
	Key string `json:"key"`
	// Attempt is unique to one dispatch by one router.
	Attempt string `json:"attempt"`
	// Request is the digest of route and body. A key that comes back with
	// another request is refused.
	Request string `json:"request,omitempty"`
	// Outcome belongs to ClaimFinish.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored answer of a call that was run.
type Outcome struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated says that the body was too long to keep.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown says that the call was sent and no answer came.
	Unknown bool `json:"unknown,omitempty"`
}

// Order records an order to an engine. Its fence is the term and index of its
// log entry.
type Order struct {
	Engine string          `json:"engine"`
	Order  engineapi.Order `json:"order"`
}

// Code is the machine-readable result of a command.
type Code string

// The results of commands.
const (
	CodeOK Code = "ok"
	// CodeConflict means that another bundle holds the version or the head.
	CodeConflict Code = "conflict"
	// CodeRefused means that a signature or a reference is not valid.
	CodeRefused Code = "refused"
	// CodeUnknown means that the command names something that is not there.
	CodeUnknown Code = "unknown"
)

// Result answers a command.
type Result struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
	// Version, Digest and State describe the bundle that the command was
	// about.
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	// HeadVersion and HeadDigest describe the bundle that a conflict is with.
	HeadVersion uint64 `json:"head_version,omitempty"`
	HeadDigest  string `json:"head_digest,omitempty"`
	// Staged tells whether enough operators have signed.
	Staged bool `json:"staged,omitempty"`
	// Claims answers each operation of a batch.
	Claims []ClaimResult `json:"claims,omitempty"`
	// Fence belongs to an order.
	Fence engineapi.Fence `json:"fence"`
}

// ClaimState is the state of a claim after an operation.
type ClaimState string

// The states of a claim.
const (
	// ClaimGranted means that the asking attempt may run.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another attempt has the right.
	ClaimRunning ClaimState = "running"
	// ClaimFinished means that an attempt was run and its outcome is known.
	ClaimFinished ClaimState = "finished"
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimVoid means that the attempt was released before or is not the one
	// that holds the claim.
	ClaimVoid ClaimState = "void"
)

// ClaimResult answers one operation on a claim.
type ClaimResult struct {
	State   ClaimState `json:"state"`
	Outcome *Outcome   `json:"outcome,omitempty"`
	// Age is how long ago the running attempt acquired the claim, in
	// milliseconds.
	Age int64 `json:"age,omitempty"`
}
