package main

import (
	"fmt"
	"sync"
	"time"
)

// relayDocument is a configuration of a shop. Version 2 moves its orders to another service and adds a route.
func relayDocument(version int, service string, returns bool) string {
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"shop.example","path_prefix":%q,"kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":%q,"max_attempts":1,"public":true,"sticky":false,"resumable":false}`, name, prefix, service)
	}
	routes := route("r-orders", "/orders/", service)
	if returns {
		routes += "," + route("r-returns", "/returns/", service)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"orders","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false},`+
		`{"name":"orders-new","health_path":"/healthz","max_connections":100,"protocol":"h1","tls":false}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`, version, routes)
}

const (
	// relayCut is the time for which front-1 is cut off from all workers, and nodeCut that for which front-2 is
	// cut off from the core.
	relayCut = 9 * time.Second
	nodeCut  = 5500 * time.Millisecond
)

// runRelay changes the configuration while front-1, which has it at once, passes its requests on to other
// routers, one of which does not have it yet.
func runRelay(d *deployment, trouble bool) (v verdict, err error) {
	if err := d.startControls(true); err != nil {
		return v, err
	}
	if err := d.startRouters(6); err != nil {
		return v, err
	}
	var workers []*worker
	for i, service := range []string{"orders", "orders", "orders-new", "orders-new"} {
		w, err := startWorker(d, fmt.Sprintf("i-%d", i+1), service, 35+i, d.ports.control, false, nil)
		if err != nil {
			return v, err
		}
		defer w.stop()
		workers = append(workers, w)
	}
	if _, err := d.configure(1, relayDocument(1, "orders", false)); err != nil {
		return v, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return v, err
	}
	// The routers learn of each other.
	time.Sleep(contact + time.Second)
	traffic := &relayTraffic{d: d}
	traffic.start()
	time.Sleep(time.Second)
	if trouble {
		for _, w := range workers {
			w.setCut(d.source(0), true)
		}
		d.record.add("front-1 is cut off from all workers")
		time.AfterFunc(relayCut, func() {
			for _, w := range workers {
				w.setCut(d.source(0), false)
			}
			d.record.add("front-1 reaches the workers again")
		})
	}
	time.Sleep(contact)
	if trouble {
		for _, p := range d.proxies {
			p.setCut("front-2")
		}
		d.record.add("front-2 is cut off from the core")
		time.AfterFunc(nodeCut, func() {
			for _, p := range d.proxies {
				p.setCut("")
			}
			d.record.add("front-2 reaches the core again")
		})
	}
	time.Sleep(100 * time.Millisecond)
	acked, err := d.configure(2, relayDocument(2, "orders-new", true))
	if err != nil {
		return v, err
	}
	time.Sleep(time.Until(acked.Add(relayCut)))
	return traffic.judge(acked), nil
}

// relayTraffic is what the clients of front-1 send.
type relayTraffic struct {
	d        *deployment
	mu       sync.Mutex
	requests []*request
	ended    chan struct{}
	group    sync.WaitGroup
}

func (t *relayTraffic) start() {
	t.ended = make(chan struct{})
	t.group.Go(func() {
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for i := 0; ; i++ {
			path := "/orders/new"
			if i%2 == 1 {
				path = "/returns/new"
			}
			q := &request{id: fmt.Sprintf("client-%04d", i), method: "POST", host: "shop.example", path: path, body: "one order", router: 0}
			t.mu.Lock()
			t.requests = append(t.requests, q)
			t.mu.Unlock()
			t.group.Go(func() { t.d.send(q) })
			select {
			case <-t.ended:
				return
			case <-tick.C:
			}
		}
	})
}

// judge counts the requests, sent more than config_apply_ms after the acknowledgement, that were handled in a
// way that only version 1 allows.
func (t *relayTraffic) judge(acked time.Time) (v verdict) {
	close(t.ended)
	t.group.Wait()
	judged, served, old, missing := 0, 0, 0, 0
	for _, q := range t.requests {
		if q.sentAt.Before(acked.Add(configApply)) {
			continue
		}
		judged++
		for _, service := range t.d.record.ranAt(q.id) {
			if service == "orders" {
				old++
				t.d.record.add("%s, sent %v after the acknowledgement, ran at the old service", q.id, q.sentAt.Sub(acked).Round(time.Millisecond))
			}
		}
		switch {
		case q.status == 200:
			served++
		case q.status == 404:
			missing++
			t.d.record.add("%s, sent %v after the acknowledgement, was answered with 404 although its route is there", q.id, q.sentAt.Sub(acked).Round(time.Millisecond))
		}
	}
	v.broken = old+missing > 0
	v.text = fmt.Sprintf("of %d requests to front-1, sent more than %v after the acknowledgement of version 2, %d ran at the service of version 1 and %d were refused with 404; %d were served", judged, configApply, old, missing, served)
	return v
}
