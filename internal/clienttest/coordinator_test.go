package clienttest

import (
	"net/http"
	"testing"
)

// atCoordinator tests a crowd at an address of a coordinator. Operators and callers must be served afterwards.
func atCoordinator(t *testing.T, f form, address func(*deployment) target) {
	t.Helper()
	d := start(t, 1)
	surviveBeside(t, d.coordinators[0], f, address(d), func() {
		d.configure()
		d.awaitAnswer()
	}, d.observe)
}

func atOperators(d *deployment) target {
	return target{d.operator[0], http.MethodPut, "/v1/configuration", ""}
}

func atNodeMetrics(d *deployment) target {
	return target{d.nodeMetrics, http.MethodPost, "/v1/blocked", ""}
}

func atPeers(d *deployment) target { return target{d.peer[0], http.MethodPost, "/", ""} }

func TestCoordinatorSurvivesConfigurations(t *testing.T) { atCoordinator(t, documentForm, atOperators) }
func TestCoordinatorSurvivesWholeConfigurations(t *testing.T) {
	atCoordinator(t, wholeDocumentForm, atOperators)
}
func TestCoordinatorSurvivesEndlessChunks(t *testing.T) {
	atCoordinator(t, endlessChunksForm, atOperators)
}
func TestCoordinatorSurvivesLargeHeads(t *testing.T) { atCoordinator(t, largeHeadForm, atOperators) }
func TestCoordinatorSurvivesShortFields(t *testing.T) {
	atCoordinator(t, manyShortFieldsForm, atOperators)
}
func TestCoordinatorSurvivesSilentConnections(t *testing.T) {
	atCoordinator(t, silentForm, atOperators)
}
func TestCoordinatorSurvivesRequestsAhead(t *testing.T) { atCoordinator(t, aheadForm, atOperators) }
func TestNodeMetricsSurviveLargeHeads(t *testing.T)     { atCoordinator(t, largeHeadForm, atNodeMetrics) }
func TestNodeMetricsSurviveSilentConnections(t *testing.T) {
	atCoordinator(t, silentForm, atNodeMetrics)
}
func TestPeerAddressSurvivesEndlessMessages(t *testing.T)   { atCoordinator(t, lineForm, atPeers) }
func TestPeerAddressSurvivesLargeCalls(t *testing.T)        { atCoordinator(t, callsForm, atPeers) }
func TestPeerAddressSurvivesSilentConnections(t *testing.T) { atCoordinator(t, silentForm, atPeers) }
