package edge

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// recordSalt records the salt of a request. The lock is held.
func (d *deployment) recordSalt(header http.Header) {
	tenant, salt := header.Get(names.Tenant), header.Get(names.Salt)
	if salt == "" {
		return
	}
	if d.salts == nil {
		d.salts = map[string]map[string]bool{}
	}
	if d.salts[tenant] == nil {
		d.salts[tenant] = map[string]bool{}
	}
	d.salts[tenant][salt] = true
}

// takeSalts returns the salts that a tenant's requests have had since the last call.
func (d *deployment) takeSalts(tenant string) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	salts := d.salts[tenant]
	delete(d.salts, tenant)
	return salts
}

// changeTenants puts a version with tenants in force and waits until all routers have it.
func (d *deployment) changeTenants(version uint64, tenants string) {
	d.t.Helper()
	was := `{"name":"alice","keys":["ka"]},{"name":"bob","keys":["kb"]}`
	d.configureDocument(version, strings.Replace(strings.Replace(testDocument, was, tenants, 1), `"version":1`, fmt.Sprintf(`"version":%d`, version), 1))
	for _, e := range d.routers {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			if table := e.follower.Table(); table == nil || table.Version < version {
				return poll.Continue("version %d is not in force", version)
			}
			return poll.Success()
		}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	}
	d.takeSalts("alice")
	d.takeSalts("bob")
}

// saltsOf sends a tenant's requests through all routers and returns their salts.
func (d *deployment) saltsOf(tenant string) map[string]bool {
	d.t.Helper()
	for frontend := range d.routers {
		got := d.send(frontend, map[string]string{"alice": "ka", "bob": "kb"}[tenant], "/chat/", fmt.Sprintf("%s %d", tenant, d.requests.Add(1)))
		assert.Equal(d.t, got.status, http.StatusOK)
	}
	return d.takeSalts(tenant)
}

const (
	bothShare     = `{"name":"alice","keys":["ka"]},{"name":"bob","keys":["kb"]}`
	aliceIsolated = `{"name":"alice","keys":["ka"],"isolated":true},{"name":"bob","keys":["kb"]}`
	newIsolated   = `{"name":"alice","keys":["ka"]},{"name":"bob","keys":["kb"]},{"name":"carol","keys":["kc"],"isolated":true}`
	onlyBob       = `{"name":"bob","keys":["kb"]}`
)

// Guards against the use of prompts that a tenant has left in caches before it became isolated, also after
// all coordinators have been restarted, and against caches that are lost without need.
func TestIsolatedTenantLeavesNoSharedPrompts(t *testing.T) {
	d := newDeployment(t, 3, 2, 2)
	d.configure()
	d.awaitReady()
	d.takeSalts("alice")
	shared := d.saltsOf("alice")
	assert.DeepEqual(t, d.saltsOf("bob"), shared)
	assert.Equal(t, len(shared), 1)

	d.changeTenants(2, newIsolated)
	assert.DeepEqual(t, d.saltsOf("bob"), shared)
	d.changeTenants(3, aliceIsolated)
	assertDisjoint(t, d.saltsOf("bob"), shared)
	private, now := d.saltsOf("alice"), d.saltsOf("bob")
	assertDisjoint(t, private, now)

	d.restartNodes()
	d.awaitReady()
	d.takeSalts("alice")
	assert.DeepEqual(t, d.saltsOf("bob"), now)
	d.changeTenants(4, onlyBob)
	assert.DeepEqual(t, d.saltsOf("bob"), now)
	d.changeTenants(5, bothShare)
	assert.DeepEqual(t, d.saltsOf("alice"), now)
	d.changeTenants(6, onlyBob)
	d.changeTenants(7, aliceIsolated)
	assertDisjoint(t, d.saltsOf("bob"), now)
	assert.DeepEqual(t, d.saltsOf("alice"), private)
}

func assertDisjoint(t *testing.T, some, others map[string]bool) {
	t.Helper()
	for salt := range maps.Keys(some) {
		assert.Assert(t, !others[salt], "%s is used by both", salt)
	}
}
