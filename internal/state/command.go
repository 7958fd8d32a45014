// Package state is the replicated state machine of the control group: bundles and their
// approval, the registry of routers, at-most-once claims, the deployment that routers serve
// from, and orders to engines. It is pure and deterministic: the same commands in the same
// order give the same state, results and digest on every node.
package state

import (
	"encoding/json"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Command is one entry of the replicated log. Exactly one of the pointer fields is set.
type Command struct {
	// RequestID identifies an operator's command. A command that repeats an ID is not run
	// again and gets the first result.
	RequestID string `json:"request_id,omitempty"`
	// At is the proposer's wall clock in Unix milliseconds. The state machine's own time is
	// the highest seen and never goes back.
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

// Propose submits a bundle for approval.
type Propose struct {
	// Canonical is the bundle's canonical text.
	Canonical json.RawMessage `json:"canonical"`
	Signature Signature       `json:"signature"`
	// Bootstrap is the trust of the leader's settings. It applies only until the first bundle
	// is accepted.
	Bootstrap Trust `json:"bootstrap"`
}

// Trust lists the operators whose signatures are valid and the number of approvals needed.
type Trust struct {
	// Operators maps names to public keys in hex.
	Operators map[string]string `json:"operators,omitempty"`
	Approvals int               `json:"approvals"`
}

// Approve adds an operator's signature to the pending bundle.
type Approve struct {
	Digest    string    `json:"digest"`
	Signature Signature `json:"signature"`
	Bootstrap Trust     `json:"bootstrap"`
}

// Withdraw drops a bundle that has not been staged.
type Withdraw struct {
	Digest string `json:"digest"`
}

// Accept puts the staged bundle in force. The leader proposes it once the leases of the routers
// allow it.
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
	// Peer is the address that other routers connect to.
	Peer string `json:"peer"`
}

// Register adds routers to the registry as joining, or updates registered ones. Admit makes
// joining routers members.
type Register struct {
	Routers []Router `json:"routers"`
}

// Admit makes the joining routers members of the registry. The leader proposes it once a
// majority of the members, and a majority of members and joining routers together, hold this
// version of the registry and have this bundle in force. Otherwise a majority of the larger
// registry could miss a bundle that a majority of the smaller one acknowledged.
type Admit struct {
	Version uint64 `json:"version"`
	// Head is the digest of the bundle in force, empty for none.
	Head string `json:"head,omitempty"`
}

// Retire removes routers that are permanently stopped.
type Retire struct {
	Names []string `json:"names"`
}

// Claims is a batch of operations on at-most-once claims, applied in order.
type Claims struct {
	Operations []ClaimOperation `json:"operations"`
}

// ClaimKind is the kind of an operation on a claim.
type ClaimKind string

// The operations on claims.
const (
	// ClaimAcquire requests the right to run the only attempt of a key.
	ClaimAcquire ClaimKind = "acquire"
	// ClaimFinish stores the outcome of an attempt that was run.
	ClaimFinish ClaimKind = "finish"
	// ClaimRelease frees the key of an attempt that was not run and never will be.
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
	// Request is the digest of route and body. Reuse of a key for another request is
	// rejected.
	Request string `json:"request,omitempty"`
	// Outcome is set for ClaimFinish only.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored response of a call that was run.
type Outcome struct {
	// Status is the HTTP status code.
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Truncated is set if the body was too long to store; Body is then empty.
	Truncated bool `json:"truncated,omitempty"`
	// Unknown is set if the call was sent and no response arrived.
	Unknown bool `json:"unknown,omitempty"`
}

// Order records an order to an engine. Its fence is the term and index of its log entry.
type Order struct {
	Engine string          `json:"engine"`
	Order  engineapi.Order `json:"order"`
}

// Code is the machine-readable result of a command.
type Code string

// The results of commands.
const (
	CodeOK Code = "ok"
	// CodeConflict means that another bundle is pending, or that the bundle does not follow
	// the head.
	CodeConflict Code = "conflict"
	// CodeRefused means that the command is not valid or not allowed in the current state.
	CodeRefused Code = "refused"
	// CodeUnknown means that the command refers to something that does not exist.
	CodeUnknown Code = "unknown"
)

// Result is the result of a command.
type Result struct {
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
	// Version and Digest identify the bundle of the command. For Configure, Version is that
	// of the configuration in force.
	Version uint64 `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	// HeadVersion and HeadDigest identify the other bundle of a conflict.
	HeadVersion uint64 `json:"head_version,omitempty"`
	HeadDigest  string `json:"head_digest,omitempty"`
	// Staged is set once enough operators have signed.
	Staged bool `json:"staged,omitempty"`
	// Claims holds a result for each operation of a batch, in the same order.
	Claims []ClaimResult `json:"claims,omitempty"`
	// Fence is set for an order only.
	Fence engineapi.Fence `json:"fence"`
}

// ClaimState is the state of a claim after an operation.
type ClaimState string

// The states of a claim.
const (
	// ClaimGranted means that the requesting attempt may run.
	ClaimGranted ClaimState = "granted"
	// ClaimRunning means that another attempt holds the claim.
	ClaimRunning ClaimState = "running"
	// ClaimFinished means that an attempt was run and its outcome is stored.
	ClaimFinished ClaimState = "finished"
	// ClaimMismatch means that the key was used for another request.
	ClaimMismatch ClaimState = "mismatch"
	// ClaimVoid means that the attempt was released or does not hold the claim.
	ClaimVoid ClaimState = "void"
)

// ClaimResult is the result of one operation on a claim.
type ClaimResult struct {
	State   ClaimState `json:"state"`
	Outcome *Outcome   `json:"outcome,omitempty"`
	// Age is the time since the running attempt acquired the claim, in milliseconds.
	Age int64 `json:"age,omitempty"`
}
