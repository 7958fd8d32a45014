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
	return target{address: d.operator[0], method: http.MethodPut, path: "/v1/configuration"}
}

func atNodeMetrics(d *deployment) target {
	return target{address: d.nodeMetrics, method: http.MethodPost, path: "/v1/blocked"}
}

func atPeers(d *deployment) target {
	return target{address: d.peer[0], method: http.MethodPost, path: "/"}
}

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
func TestCoordinatorSurvivesSlowHeads(t *testing.T)     { atCoordinator(t, slowHeadForm, atOperators) }
func TestCoordinatorSurvivesAnnouncedBodies(t *testing.T) {
	atCoordinator(t, announcedForm, atOperators)
}
func TestCoordinatorSurvivesChunksOfOneByte(t *testing.T) {
	atCoordinator(t, byteChunksForm, atOperators)
}
func TestCoordinatorSurvivesResets(t *testing.T)       { atCoordinator(t, resetForm, atOperators) }
func TestCoordinatorSurvivesManyTrailers(t *testing.T) { atCoordinator(t, trailersForm, atOperators) }
func TestNodeMetricsSurviveLargeHeads(t *testing.T)    { atCoordinator(t, largeHeadForm, atNodeMetrics) }
func TestNodeMetricsSurviveSilentConnections(t *testing.T) {
	atCoordinator(t, silentForm, atNodeMetrics)
}
func TestPeerAddressSurvivesEndlessMessages(t *testing.T)   { atCoordinator(t, lineForm, atPeers) }
func TestPeerAddressSurvivesLargeCalls(t *testing.T)        { atCoordinator(t, callsForm, atPeers) }
func TestPeerAddressSurvivesSilentConnections(t *testing.T) { atCoordinator(t, silentForm, atPeers) }
func TestPeerAddressSurvivesUnreadReplies(t *testing.T)     { atCoordinator(t, repliesForm, atPeers) }
