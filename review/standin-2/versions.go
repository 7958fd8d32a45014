package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const versionsDocument = `{"version":1,"routes":[{"name":"r-chat","host":"chat.example","path_prefix":"/chat/","kind":"stream","timeout_ms":15000,"target_latency_ms":600,"priority":0,` +
	`"service":"llm","max_attempts":2,"public":true,"sticky":true,"resumable":true,"target_gap_ms":500}],` +
	`"services":[{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":110556,"kv_token_bytes":163840,"link_mbps":1100000.0,"backups":true,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}`

const (
	// versionsLate is by how much the first heartbeat of the restarted worker is late, and versionsRun how
	// long it runs until it crashes.
	versionsLate = 3 * time.Second
	versionsRun  = 2 * time.Second
	// versionsStreams is the number of streams that begin meanwhile.
	versionsStreams = 24
)

// takeUp makes the client go on once with a stream that broke off, at another router.
func (d *deployment) takeUp(q *request) {
	at := strings.LastIndex(string(q.answer), "\n\n")
	if q.err == nil || at < 0 {
		return
	}
	whole := string(q.answer[:at+2])
	again := &request{id: q.id + "-again", method: q.method, host: q.host, path: q.path, body: q.body, router: 0, limit: 10 * time.Second, header: map[string]string{
		"Resumes": q.id, "Last-Event-Id": fmt.Sprint(strings.Count(whole, "id: "))}}
	for name, value := range q.header {
		again.header[name] = value
	}
	d.send(again)
	q.status, q.err, q.answer = again.status, again.err, append([]byte(whole), again.answer...)
}

// runVersions restarts a worker under its name with another software version, which crashes soon.
func runVersions(d *deployment, trouble bool) (v verdict, err error) {
	if err := d.startControls(false); err != nil {
		return v, err
	}
	if err := d.startRouters(2); err != nil {
		return v, err
	}
	var workers []*worker
	for i := range 4 {
		w := newWorker(d, fmt.Sprintf("i-%d", i+1), "llm", 35+i, d.ports.control, true)
		w.events, w.pause = 25, 150*time.Millisecond
		if err := w.start(d); err != nil {
			return v, err
		}
		workers = append(workers, w)
		defer func() { workers[i].stop() }()
	}
	if _, err := d.configure(1, versionsDocument); err != nil {
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
		w := newWorker(d, "i-1", "llm", 35, d.ports.control, true)
		w.events, w.pause, w.software, w.late = 25, 150*time.Millisecond, "v2", versionsLate
		if err := w.start(d); err != nil {
			return v, err
		}
		workers[0] = w
		d.record.add("i-1 starts again with software v2; its first heartbeat will arrive %v late", versionsLate)
		time.AfterFunc(versionsRun, func() {
			d.record.add("i-1 crashes")
			w.stop()
		})
	}
	var group sync.WaitGroup
	streams := make([]*request, versionsStreams)
	for i := range streams {
		q := &request{id: fmt.Sprintf("stream-%02d", i), method: "POST", host: "chat.example", path: "/chat/ask", body: fmt.Sprintf("prompt %d", i), router: 1, limit: 15 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "900,25", "X-Prompt-Prefix": fmt.Sprintf("%08x:198,%08x:600", 1000+i, 2000+i)}}
		streams[i] = q
		group.Go(func() {
			d.send(q)
			d.takeUp(q)
		})
		time.Sleep(50 * time.Millisecond)
	}
	group.Wait()
	served, joined := 0, 0
	for _, q := range streams {
		text := string(q.answer)
		if q.status == 200 && strings.Contains(text, "id: 25") {
			served++
		}
		if strings.Contains(text, "by v1") && strings.Contains(text, "by v2") {
			joined++
			d.record.add("the stream of %s has events of v1 and v2: %q", q.id, strings.ReplaceAll(text, "\n", " "))
		}
	}
	if served < versionsStreams/3 {
		return v, fmt.Errorf("only %d of %d streams were served", served, versionsStreams)
	}
	// PAGES-BY-LETTER.md: "More than two streams hold events from workers of two software versions".
	v.broken = joined > 2
	v.text = fmt.Sprintf("%d of %d streams hold events of two software versions; %d were served whole", joined, versionsStreams, served)
	return v, nil
}
