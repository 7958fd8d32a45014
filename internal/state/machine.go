package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
)

// Numbers of results, bundle versions and orders that the state machine retains.
const (
	maxStoredResults = 4096
	maxHistory       = 256
	maxOrders        = 1024
)

// Version is an accepted bundle in the history.
type Version struct {
	Version   uint64   `json:"version"`
	Digest    string   `json:"digest"`
	Operators []string `json:"operators,omitempty"`
	// Index is the log index at which the bundle was accepted.
	Index uint64 `json:"index"`
	// At is the time of acceptance in Unix milliseconds.
	At int64 `json:"at"`
}

// Proposal is a bundle with its signatures, either pending or accepted.
type Proposal struct {
	Version    uint64            `json:"version"`
	Digest     string            `json:"digest"`
	Canonical  json.RawMessage   `json:"canonical"`
	Signatures map[string]string `json:"signatures,omitempty"`
	// Stage is the log index at which the bundle got its last approval, or 0.
	Stage uint64 `json:"stage,omitempty"`
}

// storedResult is the result of an operator's command, returned again for a repeated ID.
type storedResult struct {
	RequestID string `json:"request_id"`
	Result    Result `json:"result"`
}

// data is the content of a snapshot.
type data struct {
	// Applied is the index of the last applied entry.
	Applied uint64 `json:"applied"`
	// Now is the highest Command.At so far, in Unix milliseconds.
	Now           int64               `json:"now"`
	Head          *Proposal           `json:"head,omitempty"`
	Pending       *Proposal           `json:"pending,omitempty"`
	History       []Version           `json:"history,omitempty"`
	Trust         Trust               `json:"trust"`
	Registry      Registry            `json:"registry"`
	StoredResults []storedResult      `json:"answers,omitempty"`
	Claims        map[string]*claim   `json:"claims,omitempty"`
	Expiring      []expiry            `json:"expiring,omitempty"`
	Orders        []OrderRecord       `json:"orders,omitempty"`
	Voids         map[string]struct{} `json:"voids,omitempty"`
	// Retention is the retention of claims in the bundle in force, in milliseconds. 0 means
	// the default.
	Retention  int64      `json:"retention,omitempty"`
	Deployment Deployment `json:"deployment"`
}

// OrderRecord is an issued order with its fence.
type OrderRecord struct {
	Engine string          `json:"engine"`
	Order  engineapi.Order `json:"order"`
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	data    data
	results map[string]Result
}

// New returns an empty machine.
func New() *Machine {
	m := &Machine{}
	m.reset(data{})
	return m
}

func (m *Machine) reset(d data) {
	d.Registry.init()
	d.Deployment.init()
	if d.Claims == nil {
		d.Claims = map[string]*claim{}
	}
	if d.Voids == nil {
		d.Voids = map[string]struct{}{}
	}
	m.data = d
	m.results = make(map[string]Result, len(d.StoredResults))
	for _, a := range d.StoredResults {
		m.results[a.RequestID] = a.Result
	}
}

// Apply applies the command of the log entry with the given index and term. An entry that was
// already applied changes nothing. An error means that the entry was not applied.
func (m *Machine) Apply(index, term uint64, command []byte) (Result, error) {
	if index <= m.data.Applied {
		return Result{Code: CodeOK}, nil
	}
	c, err := decodeCommand(command)
	if err != nil {
		return Result{}, errors.Wrapf(err, "decode command %d", index)
	}
	m.data.Applied = index
	if len(command) == 0 {
		return Result{Code: CodeOK}, nil
	}
	m.data.Now = max(m.data.Now, c.At)
	m.expireClaims()
	if first, again := m.results[c.RequestID]; again && c.RequestID != "" {
		return first, nil
	}
	result := m.run(index, term, c)
	m.storeResult(c.RequestID, result)
	return result, nil
}

func (m *Machine) run(index, term uint64, c *Command) Result {
	switch {
	case c.Configure != nil:
		return m.configure(index, c.Configure)
	case c.NameWeights != nil:
		return m.nameWeights(index, c.NameWeights)
	case c.Enrol != nil:
		return m.enrol(index, c.Enrol)
	case c.Depart != nil:
		return m.depart(index, c.Depart)
	case c.Hold != nil:
		return m.hold(c.Hold)
	case c.Block != nil:
		return m.block(index, c.Block)
	case c.Unblock != nil:
		return m.unblock(index, c.Unblock)
	case c.Propose != nil:
		return m.propose(index, c.Propose)
	case c.Approve != nil:
		return m.approve(index, c.Approve)
	case c.Withdraw != nil:
		return m.withdraw(c.Withdraw)
	case c.Accept != nil:
		return m.accept(index, c.Accept)
	case c.Register != nil:
		return m.register(c.Register)
	case c.Admit != nil:
		return m.admit(c.Admit)
	case c.Retire != nil:
		return m.retire(c.Retire)
	case c.Claims != nil:
		return m.claims(c.Claims)
	case c.Order != nil:
		return m.order(index, term, c.Order)
	}
	return Result{Code: CodeRefused, Message: "the command is empty"}
}

func (m *Machine) storeResult(requestID string, result Result) {
	if requestID == "" {
		return
	}
	m.results[requestID] = result
	m.data.StoredResults = append(m.data.StoredResults, storedResult{RequestID: requestID, Result: result})
	if len(m.data.StoredResults) > maxStoredResults {
		delete(m.results, m.data.StoredResults[0].RequestID)
		m.data.StoredResults = m.data.StoredResults[1:]
	}
}

func (m *Machine) order(index, term uint64, o *Order) Result {
	record := OrderRecord{Engine: o.Engine, Order: o.Order}
	record.Order.Fence = engineapi.Fence{Term: term, Sequence: index}
	m.data.Orders = append(m.data.Orders, record)
	if len(m.data.Orders) > maxOrders {
		m.data.Orders = m.data.Orders[1:]
	}
	return Result{Code: CodeOK, Fence: record.Order.Fence}
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() (json.RawMessage, error) {
	text, err := json.Marshal(m.data)
	return text, errors.Wrap(err, "encode snapshot")
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(snapshot json.RawMessage) error {
	var d data
	if err := json.Unmarshal(snapshot, &d); err != nil {
		return errors.Wrap(err, "decode snapshot")
	}
	m.reset(d)
	return nil
}

// Digest returns the SHA-256 of the encoded state in hex. Nodes that applied the same entries
// have the same digest.
func (m *Machine) Digest() (string, error) {
	text, err := m.Snapshot()
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:]), nil
}

// Applied returns the index of the last applied entry.
func (m *Machine) Applied() uint64 { return m.data.Applied }

// Head returns the bundle in force, or nil. Callers must not change it.
func (m *Machine) Head() *Proposal { return m.data.Head }

// Pending returns the bundle that awaits approval or acceptance, or nil. Callers must not
// change it.
func (m *Machine) Pending() *Proposal { return m.data.Pending }

// History returns the accepted versions, oldest first.
func (m *Machine) History() []Version { return m.data.History }

// Orders returns the latest orders, oldest first.
func (m *Machine) Orders() []OrderRecord { return m.data.Orders }

// Registry returns the registry of routers. Callers must not change it.
func (m *Machine) Registry() *Registry { return &m.data.Registry }

// ClaimCount returns the number of claims.
func (m *Machine) ClaimCount() int { return len(m.data.Claims) }
