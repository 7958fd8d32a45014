package main

import (
	"fmt"
	"sync"
	"time"
)

// splitDocument is a configuration with one plain route that is split between two services.
func splitDocument(version, first, second int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-orders","host":"shop.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,`+
		`"traffic_split":[{"service":"orders","weight":%d},{"service":"orders-canary","weight":%d}],"max_attempts":1,"public":true,"sticky":false,"resumable":false}],`+
		`"services":[{"name":"orders","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false},{"name":"orders-canary","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version, first, second)
}

// Numbers of the case: requests before and after the change, and the pause between two at all routers
// together.
const (
	splitRouters = 2
	splitBefore  = 700
	splitAfter   = 400
	splitPause   = 25 * time.Millisecond
)

// runSplit takes a canary out of a split by its weight, and counts what it runs afterwards.
func runSplit(d *deployment, trouble bool) (v verdict, err error) {
	if err := d.startControls(false); err != nil {
		return v, err
	}
	if err := d.startRouters(splitRouters); err != nil {
		return v, err
	}
	for i, service := range []string{"orders", "orders", "orders-canary"} {
		w, err := startWorker(d, fmt.Sprintf("i-%d", i+1), service, 35+i, d.ports.control, false, nil)
		if err != nil {
			return v, err
		}
		defer w.stop()
	}
	if _, err := d.configure(1, splitDocument(1, 999, 1)); err != nil {
		return v, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return v, err
	}
	time.Sleep(contact)
	d.sendSteadily("before", splitBefore)
	weight := 1.0 / 1000
	if trouble {
		acked, err := d.configure(2, splitDocument(2, 1, 0))
		if err != nil {
			return v, err
		}
		weight = 0
		time.Sleep(time.Until(acked.Add(configApply + contact)))
	} else {
		time.Sleep(configApply + contact)
	}
	run, canary, other := 0, 0, 0
	for _, q := range d.sendSteadily("after", splitAfter) {
		switch at := d.record.ranAt(q.id); {
		case len(at) != 1 || q.status != 200:
			other++
		case at[0] == "orders-canary":
			run, canary = run+1, canary+1
		default:
			run++
		}
	}
	if run < 300 {
		return v, fmt.Errorf("only %d requests were served, %d were not", run, other)
	}
	share := float64(canary) / float64(run)
	v.text = fmt.Sprintf("%d of %d requests, sent %v and more after the acknowledgement, ran at orders-canary: a share of %.3f with a weight of %.3f; %d were not served", canary, run, configApply+contact, share, weight, other)
	// NEWS-27: "a part's share lies more than 0.2 off its weight's".
	v.broken = share > weight+0.2
	return v, nil
}

// sendSteadily sends requests at an even rate, to the routers by turns.
func (d *deployment) sendSteadily(name string, count int) []*request {
	var group sync.WaitGroup
	out := make([]*request, count)
	tick := time.NewTicker(splitPause)
	defer tick.Stop()
	for i := range out {
		q := &request{id: fmt.Sprintf("%s-%04d", name, i), method: "POST", host: "shop.example", path: "/orders/new", body: "one order", router: i % len(d.routers)}
		out[i] = q
		group.Go(func() { d.send(q) })
		<-tick.C
	}
	group.Wait()
	return out
}
