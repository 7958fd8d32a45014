package clienttest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// group is a control node and a router of the first way to run, without a bundle.
type group struct {
	t               *testing.T
	node, router    *program
	peers, status   string
	listen, fellows string
}

func startGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, peers: freeAddress(t), status: freeAddress(t), listen: freeAddress(t), fellows: freeAddress(t)}
	g.node = startProgram(t, "control", "control", fmt.Sprintf("id: 1\nregion: r\nzone: z\nlisten: %q\nstatus: %q\ndata_directory: %q\npeers: [{id: 1, address: %q}]\nplatform: %q\noperators: {ana: 3b6a27bcceb6a42d62a3a8d02a6f0d73653215771de243a63ac048a18b59da29}\n",
		g.peers, g.status, t.TempDir(), g.peers, freeAddress(t)), nodeMemory, descriptorLimit)
	g.router = startProgram(t, "router", "router", fmt.Sprintf("name: router\nregion: r\nzone: z\nlisten: %q\npeer_listen: %q\ndata_directory: %q\ncontrol: [%q]\n",
		g.listen, g.fellows, t.TempDir(), g.peers), nodeMemory, descriptorLimit)
	g.await(g.status, "/healthz")
	g.await(g.listen, "/healthz")
	return g
}

func (g *group) await(address, path string) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if err := get(address, path); err != nil {
			return poll.Continue("%s: %v", path, err)
		}
		return poll.Success()
	}, poll.WithTimeout(answerTimeout), poll.WithDelay(50*time.Millisecond))
}

func atGateway(t *testing.T, f form, path string) {
	t.Helper()
	g := startGroup(t)
	survive(t, g.router, f, target{address: g.listen, method: http.MethodPost, path: path}, func() { g.await(g.listen, "/healthz") })
}

func atStatus(t *testing.T, f form) {
	t.Helper()
	g := startGroup(t)
	survive(t, g.node, f, target{address: g.status, method: http.MethodGet, path: "/healthz"}, func() { g.await(g.status, "/healthz") })
}

func TestGatewaySurvivesShortFields(t *testing.T) {
	atGateway(t, manyShortFieldsForm, "/v1/completions")
}
func TestGatewaySurvivesShortBodies(t *testing.T) { atGateway(t, shortBodyForm, "/v1/completions") }
func TestGatewaySurvivesSilentConnections(t *testing.T) {
	atGateway(t, silentForm, "/v1/completions")
}
func TestStatusSurvivesLargeHeads(t *testing.T)        { atStatus(t, largeHeadForm) }
func TestStatusSurvivesSilentConnections(t *testing.T) { atStatus(t, silentForm) }

func TestControlPeerAddressSurvivesEndlessMessages(t *testing.T) {
	g := startGroup(t)
	survive(t, g.node, lineForm, target{address: g.peers}, func() { g.await(g.status, "/healthz") })
}

func TestControlPeerAddressSurvivesSilentConnections(t *testing.T) {
	g := startGroup(t)
	survive(t, g.node, silentForm, target{address: g.peers}, func() { g.await(g.status, "/healthz") })
}

func TestRouterPeerAddressSurvivesEndlessMessages(t *testing.T) {
	g := startGroup(t)
	survive(t, g.router, lineForm, target{address: g.fellows}, func() { g.await(g.listen, "/healthz") })
}

// Guards against connections that are closed without a trace in the metrics.
func TestGroupReportsConnectionsOfClients(t *testing.T) {
	g := startGroup(t)
	for _, address := range []string{g.status, g.listen} {
		response, err := http.Get("http://" + address + "/metrics")
		assert.NilError(t, err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		for _, name := range []string{"quinceridge_clients_closed_total{reason=\"memory\"} 0", "quinceridge_client_connections{listener=\"peers\"} "} {
			assert.Check(t, strings.Contains(string(text), name), "%s at %s", name, address)
		}
	}
}
