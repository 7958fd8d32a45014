package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// isolatedDocument is a configuration with one route to model workers and two tenants.
func isolatedDocument(version int, isolated bool) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-chat","host":"chat.example","path_prefix":"/chat/","kind":"stream","timeout_ms":6000,"target_latency_ms":800,"priority":1,`+
		`"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"target_gap_ms":500}],`+
		`"services":[{"name":"llm","health_path":"/healthz","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":110556,"kv_token_bytes":163840,"link_mbps":1100000.0,"backups":true,"stride":4,"max_concurrency":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],`+
		`"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},`+
		`"tenants":[{"name":"walled-later","api_keys":["key-of-walled-later"],"priority":1,"isolated":%v},{"name":"other","api_keys":["key-of-other"],"priority":1,"isolated":false}]}`, version, isolated)
}

// kept is a part of a prompt that a worker keeps, and who made it.
type kept struct{ tenant, request string }

// caches is what the workers keep, by worker, salt and the chain of parts, and what was used of it.
type caches struct {
	mu    sync.Mutex
	parts map[string]kept
	// isolated tells which tenants are isolated in the configuration that was acknowledged last.
	isolated map[string]bool
	// crossed are the uses of memory that a request of another tenant has made, with one of the two isolated.
	crossed []string
	shared  int
}

// use does what a worker does with a prompt: it finds the parts that it keeps under the same text, and keeps
// the others.
func (c *caches) use(worker string, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tenant, chain := r.Header.Get("X-Tenant"), worker+"|"+r.Header.Get("X-Cache-Salt")
	found := true
	for _, part := range strings.Split(r.Header.Get("X-Prompt-Prefix"), ",") {
		chain += "|" + part
		made, held := c.parts[chain]
		if found = found && held; !found {
			c.parts[chain] = kept{tenant, r.Header.Get("X-Attempt-Id")}
			continue
		}
		if made.tenant == tenant {
			continue
		}
		c.shared++
		if c.isolated[made.tenant] || c.isolated[tenant] {
			c.crossed = append(c.crossed, fmt.Sprintf("%s of tenant %s used part %s that %s of tenant %s had made, under %q", r.Header.Get("X-Attempt-Id"), tenant, part, made.request, made.tenant, r.Header.Get("X-Cache-Salt")))
		}
	}
}

// runIsolated makes a tenant isolated whose prompts are kept already.
func runIsolated(d *deployment, trouble bool) (v verdict, err error) {
	if err := d.startControls(false); err != nil {
		return v, err
	}
	if err := d.startRouters(2); err != nil {
		return v, err
	}
	c := &caches{parts: map[string]kept{}, isolated: map[string]bool{}}
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i+1)
		w, err := startWorker(d, id, "llm", 35+i, d.ports.control, true, func(r *http.Request) { c.use(id, r) })
		if err != nil {
			return v, err
		}
		defer w.stop()
	}
	if _, err := d.configure(1, isolatedDocument(1, false)); err != nil {
		return v, err
	}
	if err := d.awaitReady(15 * time.Second); err != nil {
		return v, err
	}
	time.Sleep(contact)
	served := 0
	for i := range 30 {
		served += d.sendPrompt(fmt.Sprintf("first-%02d", i), "key-of-walled-later", i)
	}
	if trouble {
		acked, err := d.configure(2, isolatedDocument(2, true))
		if err != nil {
			return v, err
		}
		time.Sleep(time.Until(acked.Add(configApply)))
		c.mu.Lock()
		c.isolated["walled-later"] = true
		c.mu.Unlock()
	} else {
		time.Sleep(configApply)
	}
	for i := range 30 {
		served += d.sendPrompt(fmt.Sprintf("second-%02d", i), "key-of-other", i)
		served += d.sendPrompt(fmt.Sprintf("third-%02d", i), "key-of-walled-later", i)
	}
	if served < 80 {
		return v, fmt.Errorf("only %d of 90 requests were served", served)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.crossed {
		d.record.add("%s", text)
	}
	v.broken = len(c.crossed) > 0
	v.text = fmt.Sprintf("%d uses of memory across the wall of an isolated tenant, %d uses of memory that another tenant's request had made; %d of 90 requests served", len(c.crossed), c.shared, served)
	return v, nil
}

// sendPrompt sends a prompt with a shared part and returns 1 if it was served.
func (d *deployment) sendPrompt(id, key string, number int) int {
	q := &request{id: id, method: "POST", host: "chat.example", path: "/chat/ask", body: "a prompt", router: number % len(d.routers), header: map[string]string{
		"Authorization": "Bearer " + key, "X-Model": "m", "X-Token-Usage": "1300,20", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,91bd3f06:400,%08x:100", len(id)*1000+number)}}
	d.send(q)
	if q.status == 200 {
		return 1
	}
	return 0
}
