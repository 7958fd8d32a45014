package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/engineapi"
	"quinceridge.example/quinceridge/internal/enginemodel"
	"quinceridge.example/quinceridge/internal/httpwire"
	"quinceridge.example/quinceridge/internal/prefix"
	"quinceridge.example/quinceridge/internal/standin"
	"quinceridge.example/quinceridge/internal/standin/kvstore"
	"quinceridge.example/quinceridge/internal/standin/weightstore"
)

// transferTimeout is the timeout of a call to a store.
const transferTimeout = 30 * time.Second

// order accepts an order if it is for this incarnation and has a newer fence than all before.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, engineapi.KindInvalid, err.Error())
		return
	}
	e.mu.Lock()
	accepted := order.Incarnation == e.incarnation && e.fence.Less(order.Fence)
	if accepted {
		e.fence = order.Fence
	}
	reply := engineapi.OrderReply{Accepted: accepted, Highest: e.fence}
	e.mu.Unlock()
	if accepted {
		e.execute(order)
	}
	standin.WriteJSON(w, http.StatusOK, reply)
}

func (e *Engine) execute(order engineapi.Order) {
	switch order.Kind {
	case engineapi.OrderLoad:
		go e.load(order)
	case engineapi.OrderDrain, engineapi.OrderResume:
		e.mu.Lock()
		e.draining = order.Kind == engineapi.OrderDrain
		e.mu.Unlock()
	case engineapi.OrderPrewarm:
		go e.prewarm(order)
	}
}

// load changes the model or weights version after fetching the weights. It cancels unfinished
// requests and starts with an empty cache, which depends on the weights.
func (e *Engine) load(order engineapi.Order) {
	if e.config.WeightStore != "" {
		url := fmt.Sprintf("http://%s%s%s/%d", e.config.WeightStore, weightstore.PathWeights, order.Model, order.WeightsVersion)
		if err := call(http.MethodGet, url, nil, nil); err != nil {
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence != e.fence {
		return // superseded by a newer order
	}
	for _, h := range e.held {
		if !h.done {
			e.drop(h)
		}
	}
	e.model = enginemodel.New(e.config.Service)
	e.name, e.weights = order.Model, order.WeightsVersion
	e.signal()
}

// prewarm caches a prompt, imported from the KV store if it is there, else by prefill.
func (e *Engine) prewarm(order engineapi.Order) {
	scope := prefix.Scope{Tenant: order.Tenant, Shared: order.Shared}
	if order.Shared != "" {
		scope.SharedBytes = len(order.Prompt)
	}
	chain, tokens := prefix.Digest([]byte(order.Prompt), scope)
	if len(chain) == 0 {
		return
	}
	name := fmt.Sprintf("%016x", chain[len(chain)-1])
	if e.importChain(name, order.Tenant) {
		return
	}
	e.mu.Lock()
	err := e.model.Add(enginemodel.Request{ID: "prewarm-" + name, Chain: chain, PromptTokens: tokens, OutputTokens: 1})
	e.mu.Unlock()
	if err != nil {
		return
	}
	e.signal()
	if e.awaitCached(chain) {
		e.exportChain(name, order.Tenant, chain)
	}
}

// awaitCached polls until the chain is cached. It returns false on timeout.
func (e *Engine) awaitCached(chain prefix.Chain) bool {
	const pollInterval, polls = 50 * time.Millisecond, 200
	for range polls {
		e.mu.Lock()
		cached := e.model.Match(chain) == len(chain)
		e.mu.Unlock()
		if cached {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func (e *Engine) importChain(name, tenant string) bool {
	if e.config.KVStore == "" {
		return false
	}
	var entry kvstore.Entry
	err := call(http.MethodGet, "http://"+e.config.KVStore+kvstore.PathChains+name, nil, &entry)
	if err != nil || entry.Tenant != tenant {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.publish(e.model.Import(entry.Chain))
	return true
}

func (e *Engine) exportChain(name, tenant string, chain prefix.Chain) {
	if e.config.KVStore == "" {
		return
	}
	entry := kvstore.Entry{Tenant: tenant, Incarnation: e.incarnation, Chain: chain}
	_ = call(http.MethodPut, "http://"+e.config.KVStore+kvstore.PathChains+name, entry, nil)
}

// storeClient is the client of stores.
var storeClient = &http.Client{Transport: httpwire.NewTransport(nil)}

// call sends a request to a store and decodes the response into into, unless that is nil.
func call(method, url string, body, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	response, err := storeClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "call store")
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("store returned status %d", response.StatusCode)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "decode")
}
