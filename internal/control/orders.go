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
	"quinceridge.example/quinceridge/internal/state"
)

const (
	// orderInterval is the time between two looks at what engines should load.
	orderInterval = time.Second
	// orderRepeat is how long an engine is left alone after an order.
	orderRepeat = 15 * time.Second
	// loadingShare bounds how many engines of a model load at once, as a
	// divisor: one in four, and at least one.
	loadingShare = 4
	orderTimeout = 3 * time.Second
)

// orderKeeper is the leader's soft knowledge of orders under way.
type orderKeeper struct {
	client *http.Client
	given  map[string]time.Duration // by engine
}

func newOrderKeeper() *orderKeeper {
	return &orderKeeper{client: &http.Client{Timeout: orderTimeout}, given: map[string]time.Duration{}}
}

// wantedLoads returns the engines that should load newer weights now, a part of
// each model's engines at a time so that the others go on.
func (k *orderKeeper) wantedLoads(now time.Duration, b *bundle.Bundle, machines []controlapi.Machine) []controlapi.Machine {
	engines, loading := map[string]int{}, map[string]int{}
	var behind []controlapi.Machine
	for _, m := range machines {
		model, known := b.Models[m.Model]
		if m.Role != controlapi.RoleEngine || !known || m.Incarnation == "" || m.Leaving {
			continue
		}
		engines[m.Model]++
		if m.WeightsVersion >= model.TargetWeightsVersion {
			continue
		}
		if given, ordered := k.given[m.ID]; ordered && now-given < orderRepeat {
			loading[m.Model]++
			continue
		}
		behind = append(behind, m)
	}
	var out []controlapi.Machine
	for _, m := range behind {
		if loading[m.Model] < max(engines[m.Model]/loadingShare, 1) {
			loading[m.Model]++
			out = append(out, m)
		}
	}
	return out
}

// runOrders lets the leader order engines to load weights, until the context
// ends.
func (s *Server) runOrders(ctx context.Context) {
	keeper := newOrderKeeper()
	defer keeper.client.CloseIdleConnections()
	ticker := time.NewTicker(orderInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.loop.Stopped():
			return
		case <-ticker.C:
			s.giveOrders(ctx, keeper)
		}
	}
}

func (s *Server) giveOrders(ctx context.Context, keeper *orderKeeper) {
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
	for _, m := range keeper.wantedLoads(s.now(), b, s.inventory.Machines()) {
		keeper.given[m.ID] = s.now()
		order := engineapi.Order{Kind: engineapi.OrderLoad, Incarnation: m.Incarnation, Model: m.Model, WeightsVersion: b.Models[m.Model].TargetWeightsVersion}
		if err := s.giveOrder(ctx, keeper, m, order); err != nil {
			s.logger.Warn("order was not given", "engine", m.ID, "error", err)
		}
	}
}

// giveOrder records an order in the log and sends it with the fence that its
// place in the log gives. An order that is late meets an engine which has seen
// a higher fence.
func (s *Server) giveOrder(ctx context.Context, keeper *orderKeeper, m controlapi.Machine, order engineapi.Order) error {
	command := state.Command{Order: &state.Order{Engine: m.ID, Order: order}}
	reply, err := s.handleSubmit(ctx, controlapi.SubmitRequest{Command: command})
	if err != nil {
		return err
	}
	if reply.NotLeader {
		return errors.New("this node leads no more")
	}
	order.Fence = reply.Result.Fence
	answer, err := keeper.send(ctx, m.Address, order)
	if err != nil {
		return err
	}
	s.logger.Info("order given", "engine", m.ID, "kind", string(order.Kind), "weights", order.WeightsVersion, "accepted", answer.Accepted)
	return nil
}

func (k *orderKeeper) send(ctx context.Context, address string, order engineapi.Order) (engineapi.OrderReply, error) {
	var reply engineapi.OrderReply
	body, err := json.Marshal(order)
	if err != nil {
		return reply, errors.Wrap(err, "encode order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+engineapi.PathOrders, bytes.NewReader(body))
	if err != nil {
		return reply, errors.Wrap(err, "build order")
	}
	response, err := k.client.Do(request)
	if err != nil {
		return reply, errors.Wrap(err, "send order")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Newf("engine answered the order with %d", response.StatusCode)
	}
	return reply, errors.Wrap(json.NewDecoder(response.Body).Decode(&reply), "decode answer")
}
