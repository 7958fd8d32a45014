package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// restLate is by how much the first heartbeat of the restarted worker is late, restWarmUp the time for which it
	// turns requests away, and restAsked the rest that it asks for.
	restLate   = 2 * time.Second
	restWarmUp = time.Second
	restAsked  = 8 * time.Second
)

// runRest restarts a worker under its name, which turns the first requests away with a Retry-After. Without
// trouble the worker does so without a restart.
func runRest(d *deployment, trouble bool) (v verdict, err error) {
	if err := d.startControls(false); err != nil {
		return v, err
	}
	if err := d.startRouters(2); err != nil {
		return v, err
	}
	var workers []*worker
	for i := range 4 {
		w, err := startWorker(d, fmt.Sprintf("i-%d", i+1), "orders", 35+i, d.ports.control, false, nil)
		if err != nil {
			return v, err
		}
		workers = append(workers, w)
		defer func() { workers[i].stop() }()
	}
	if _, err := d.configure(1, relayDocument(1, "orders", false)); err != nil {
		return v, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return v, err
	}
	time.Sleep(contact)
	if trouble {
		workers[0].stop()
		d.record.add("i-1 crashes")
		time.Sleep(200 * time.Millisecond)
	}
	w := workers[0]
	if trouble {
		w = newWorker(d, "i-1", "orders", 35, d.ports.control, false)
		w.late, w.warmAt, w.rest = restLate, time.Now().Add(restWarmUp), restAsked
		if err := w.start(d); err != nil {
			return v, err
		}
		workers[0] = w
		d.record.add("i-1 starts again; its first heartbeat will arrive %v late", restLate)
	}
	if !trouble {
		w.mu.Lock()
		w.warmAt, w.rest = time.Now().Add(restWarmUp), restAsked
		w.mu.Unlock()
	}
	var group sync.WaitGroup
	tick := time.NewTicker(25 * time.Millisecond)
	defer tick.Stop()
	var requests []*request
	for i, until := 0, time.Now().Add(restAsked); time.Now().Before(until); i++ {
		q := &request{id: fmt.Sprintf("client-%04d", i), method: "POST", host: "shop.example", path: "/orders/new", body: "one order", router: i % 2}
		requests = append(requests, q)
		group.Go(func() { d.send(q) })
		<-tick.C
	}
	group.Wait()
	served := 0
	for _, q := range requests {
		if q.status == 200 {
			served++
		}
	}
	if served < len(requests)/2 {
		return v, fmt.Errorf("only %d of %d requests were served", served, len(requests))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	v.text = fmt.Sprintf("requests that reached i-1 before the rest was over, by the machine that it had asked for it: %v; %d of %d requests were served", w.tooEarly, served, len(requests))
	for _, count := range w.tooEarly {
		// PAGES-BY-LETTER.md: "More than two requests reach a worker from a machine".
		v.broken = v.broken || count > 2
	}
	return v, nil
}
