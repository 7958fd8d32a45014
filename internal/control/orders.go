package control

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/bundle"
	"quinceridge.example/quinceridge/internal/controlapi"
	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// orderInterval is the interval between two checks for engines to load weights.
	orderInterval = time.Second
	// orderRetryInterval is the minimum time between two orders to the same engine.
	orderRetryInterval = 15 * time.Second
	// loadingDivisor limits how many engines of a model load at once: a quarter of them, but
	// at least one.
	loadingDivisor = 4
	orderTimeout   = 3 * time.Second
)

// orderTracker is the leader's volatile record of the orders sent.
type orderTracker struct {
	client *http.Client
	sentAt map[string]time.Duration // by engine
}

func newOrderTracker() *orderTracker {
	return &orderTracker{client: &http.Client{Timeout: orderTimeout, Transport: httpwire.NewTransport(nil)}, sentAt: map[string]time.Duration{}}
}

// dueLoads returns the engines that should load newer weights now. It limits how many engines
// of a model load at once, so that the others continue to serve.
func (t *orderTracker) dueLoads(now time.Duration, b *bundle.Bundle, machines []controlapi.Machine) []controlapi.Machine {
	engines, loading := map[string]int{}, map[string]int{}
	var outdated []controlapi.Machine
	for _, m := range machines {
		model, known := b.Models[m.Model]
		if m.Role != controlapi.RoleEngine || !known || m.Incarnation == "" || m.Leaving {
			continue
		}
		engines[m.Model]++
		if m.WeightsVersion >= model.TargetWeightsVersion {
			continue
		}
		if sentAt, ordered := t.sentAt[m.ID]; ordered && now-sentAt < orderRetryInterval {
			loading[m.Model]++
			continue
		}
		outdated = append(outdated, m)
	}
	var out []controlapi.Machine
	for _, m := range outdated {
		if loading[m.Model] < max(engines[m.Model]/loadingDivisor, 1) {
			loading[m.Model]++
			out = append(out, m)
		}
	}
	return out
}

// runOrders orders engines to load weights while this node is the leader, until ctx ends or
// the node stops.
func (s *Server) runOrders(ctx context.Context) {
	tracker := newOrderTracker()
	defer tracker.client.CloseIdleConnections()
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.loop.Stopped():
			return
		case <-ticker.C:
			s.sendOrders(ctx, tracker)
		}
	}
}

func (s *Server) sendOrders(ctx context.Context, tracker *orderTracker) {
	var head *state.Proposal
	s.loop.Do(ctx, func(now time.Duration) {
		if s.core.HoldsLease(now) {
			head = s.core.Machine().Head()
		}
	})
	if head == nil {
		return
	}
	b, err := bundle.Parse(head.Canonical)
	if err != nil {
		return
	}
	for _, m := range tracker.dueLoads(s.now(), b, s.inventory.Machines()) {
		tracker.sentAt[m.ID] = s.now()
		order := engineapi.Order{Kind: engineapi.OrderLoad, Incarnation: m.Incarnation, Model: m.Model, WeightsVersion: b.Models[m.Model].TargetWeightsVersion}
		if err := s.sendOrder(ctx, tracker, m, order); err != nil {
			s.logger.Warn("failed to send order", "engine", m.ID, "error", err)
		}
	}
}

// sendOrder commits an order to the log and sends it to the engine with the fencing token of
// its log entry. An engine rejects an order whose token is lower than one it has seen.
func (s *Server) sendOrder(ctx context.Context, tracker *orderTracker, m controlapi.Machine, order engineapi.Order) error {
	command := state.Command{Order: &state.Order{Engine: m.ID, Order: order}}
	reply, err := s.handleSubmit(ctx, controlapi.SubmitRequest{Command: command})
	if err != nil {
		return err
	}
	if reply.NotLeader {
		return errors.New("not the leader anymore")
	}
	order.Fence = reply.Result.Fence
	orderReply, err := tracker.send(ctx, m.Address, order)
	if err != nil {
		return err
	}
	s.logger.Info("order sent", "engine", m.ID, "kind", string(order.Kind), "weights", order.WeightsVersion, "accepted", orderReply.Accepted)
	return nil
}

func (t *orderTracker) send(ctx context.Context, address string, order engineapi.Order) (engineapi.OrderReply, error) {
	var reply engineapi.OrderReply
	body, err := json.Marshal(order)
	if err != nil {
		return reply, errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathOrders, bytes.NewReader(body))
	if err != nil {
		return reply, errors.Wrap(err, "create order request")
	}
	response, err := t.client.Do(request)
	if err != nil {
		return reply, errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Newf("engine responded to the order with status %d", response.StatusCode)
	}
	return reply, errors.Wrap(json.NewDecoder(response.Body).Decode(&reply), "decode order reply")
}
