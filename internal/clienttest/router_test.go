package clienttest

import (
	"net/http"
	"testing"
)

const (
	withKey  = "Authorization: Bearer ka\r\n"
	wrongKey = "Authorization: Bearer unknown\r\n"
)

func id() string { return names.RequestID + ": crowd\r\n" }

// atRoute tests a crowd at an address for callers.
func atRoute(t *testing.T, f form, method, path, header string) {
	t.Helper()
	d := start(t, 1)
	surviveBeside(t, d.router, f, target{address: d.listen, method: method, path: path, header: header}, d.awaitAnswer, d.observe)
}

func atKeyedRoute(t *testing.T, f form) {
	t.Helper()
	atRoute(t, f, http.MethodPost, "/pay/x", id()+withKey)
}

func TestRouteSurvivesShortFields(t *testing.T)        { atKeyedRoute(t, shortFieldsForm) }
func TestRouteSurvivesManyShortFields(t *testing.T)    { atKeyedRoute(t, manyShortFieldsForm) }
func TestRouteSurvivesEndlessHeads(t *testing.T)       { atKeyedRoute(t, endlessHeadForm) }
func TestRouteSurvivesSlowHeads(t *testing.T)          { atKeyedRoute(t, slowHeadForm) }
func TestRouteSurvivesShortBodies(t *testing.T)        { atKeyedRoute(t, shortBodyForm) }
func TestRouteSurvivesBodiesInPieces(t *testing.T)     { atKeyedRoute(t, piecesForm) }
func TestRouteSurvivesAnnouncedBodies(t *testing.T)    { atKeyedRoute(t, announcedForm) }
func TestRouteSurvivesChunksOfOneByte(t *testing.T)    { atKeyedRoute(t, byteChunksForm) }
func TestRouteSurvivesEndlessChunks(t *testing.T)      { atKeyedRoute(t, endlessChunksForm) }
func TestRouteSurvivesBodiesOverTheLimit(t *testing.T) { atKeyedRoute(t, overLimitForm) }
func TestRouteSurvivesManyTrailers(t *testing.T)       { atKeyedRoute(t, trailersForm) }
func TestRouteSurvivesRequestsAhead(t *testing.T)      { atKeyedRoute(t, aheadForm) }
func TestRouteSurvivesShortFieldsAhead(t *testing.T)   { atKeyedRoute(t, fieldsAheadForm) }
func TestRouteSurvivesBodiesAhead(t *testing.T)        { atKeyedRoute(t, aheadBodiesForm) }
func TestRouteSurvivesHalfClosedClients(t *testing.T)  { atKeyedRoute(t, halfClosedForm) }
func TestRouteSurvivesResets(t *testing.T)             { atKeyedRoute(t, resetForm) }
func TestRouteSurvivesSilentConnections(t *testing.T)  { atKeyedRoute(t, silentForm) }

func TestRouteSurvivesUnreadLargeResponses(t *testing.T) {
	atRoute(t, unreadForm, http.MethodPost, "/look/large", withKey)
}

// Guards against running requests that together take more memory than there is.
func TestRouteSurvivesAsManyUnreadResponsesAsItHasConnections(t *testing.T) {
	d := startSized(t, 1, machineDescriptors)
	f := unreadForm
	f.count = 1500
	g := target{address: d.listen, method: http.MethodPost, path: "/look/large", header: withKey}
	surviveBeside(t, d.router, f, g, d.awaitAnswer, d.observe)
}

func TestRouteSurvivesLargeResponsesReadSlowly(t *testing.T) {
	atRoute(t, trickleForm, http.MethodPost, "/look/large", withKey)
}

func TestPublicRouteSurvivesShortFields(t *testing.T) {
	atRoute(t, shortFieldsForm, http.MethodPost, "/public/x", id())
}

func TestPublicRouteSurvivesShortBodies(t *testing.T) {
	atRoute(t, shortBodyForm, http.MethodPost, "/public/x", id())
}

func TestWrongKeySurvivesShortFields(t *testing.T) {
	atRoute(t, shortFieldsForm, http.MethodPost, "/pay/x", id()+wrongKey)
}

func TestWrongKeySurvivesShortBodies(t *testing.T) {
	atRoute(t, shortBodyForm, http.MethodPost, "/pay/x", id()+wrongKey)
}

func TestWrongKeySurvivesAnnouncedBodies(t *testing.T) {
	atRoute(t, announcedForm, http.MethodPost, "/pay/x", id()+wrongKey)
}

func TestStreamRouteSurvivesPromptParts(t *testing.T) {
	atRoute(t, promptPartsForm, http.MethodPost, "/chat/x", id()+withKey)
}

func TestStreamRouteSurvivesUnreadStreams(t *testing.T) {
	atRoute(t, unreadForm, http.MethodPost, "/chat/x", withKey+names.Model+": m\r\n"+names.Usage+": 20,20\r\n")
}

func TestPathWithoutRouteSurvivesShortFields(t *testing.T) {
	atRoute(t, manyShortFieldsForm, http.MethodPost, "/nowhere", id())
}

func TestPathWithoutRouteSurvivesShortBodies(t *testing.T) {
	atRoute(t, shortBodyForm, http.MethodPost, "/nowhere", id())
}

func TestPathWithoutRouteSurvivesAnnouncedBodies(t *testing.T) {
	atRoute(t, announcedForm, http.MethodPost, "/nowhere", id())
}

func TestPathWithoutRouteSurvivesEndlessChunks(t *testing.T) {
	atRoute(t, endlessChunksForm, http.MethodPost, "/nowhere", id())
}

func TestPathWithoutRouteSurvivesRequestsAhead(t *testing.T) {
	atRoute(t, aheadForm, http.MethodPost, "/nowhere", id())
}

// atUnknownHost tests a crowd that names a host without routes.
func atUnknownHost(t *testing.T, f form) {
	t.Helper()
	d := start(t, 1)
	g := target{address: d.listen, method: http.MethodPost, path: "/pay/x", host: "unknown", header: id() + withKey}
	surviveBeside(t, d.router, f, g, d.awaitAnswer, d.observe)
}

func TestUnknownHostSurvivesShortFields(t *testing.T)   { atUnknownHost(t, manyShortFieldsForm) }
func TestUnknownHostSurvivesShortBodies(t *testing.T)   { atUnknownHost(t, shortBodyForm) }
func TestUnknownHostSurvivesEndlessChunks(t *testing.T) { atUnknownHost(t, endlessChunksForm) }

func atStreamRoute(t *testing.T, f form) {
	t.Helper()
	atRoute(t, f, http.MethodPost, "/chat/x", id()+withKey+names.Model+": m\r\n"+names.Usage+": 20,20\r\n")
}

func TestStreamRouteSurvivesShortFields(t *testing.T)     { atStreamRoute(t, shortFieldsForm) }
func TestStreamRouteSurvivesShortBodies(t *testing.T)     { atStreamRoute(t, shortBodyForm) }
func TestStreamRouteSurvivesChunksOfOneByte(t *testing.T) { atStreamRoute(t, byteChunksForm) }
func TestStreamRouteSurvivesResets(t *testing.T)          { atStreamRoute(t, resetForm) }

// atReadiness tests a crowd at the readiness address, which must answer afterwards.
func atReadiness(t *testing.T, f form, path string) {
	t.Helper()
	d := start(t, 1)
	surviveBeside(t, d.router, f, target{address: d.readiness, method: http.MethodPost, path: path}, func() {
		d.poll("readiness", func() error { return get(d.readiness, "/readyz") })
		d.awaitAnswer()
	}, d.observe)
}

func TestReadinessSurvivesShortFields(t *testing.T)       { atReadiness(t, manyShortFieldsForm, "/readyz") }
func TestReadinessSurvivesLargeHeads(t *testing.T)        { atReadiness(t, largeHeadForm, "/readyz") }
func TestReadinessSurvivesSlowHeads(t *testing.T)         { atReadiness(t, slowHeadForm, "/readyz") }
func TestReadinessSurvivesShortBodies(t *testing.T)       { atReadiness(t, shortBodyForm, "/readyz") }
func TestReadinessSurvivesEndlessChunks(t *testing.T)     { atReadiness(t, endlessChunksForm, "/readyz") }
func TestReadinessSurvivesRequestsAhead(t *testing.T)     { atReadiness(t, aheadForm, "/readyz") }
func TestReadinessSurvivesSilentConnections(t *testing.T) { atReadiness(t, silentForm, "/readyz") }
func TestReadinessSurvivesMetricsAhead(t *testing.T)      { atReadiness(t, aheadForm, "/metrics") }

// atMetrics tests a crowd at the router's metrics address.
func atMetrics(t *testing.T, f form) {
	t.Helper()
	d := start(t, 1)
	surviveBeside(t, d.router, f, target{address: d.metrics, method: http.MethodGet, path: "/metrics"}, func() {
		d.poll("metrics", func() error { return get(d.metrics, "/metrics") })
		d.awaitAnswer()
	}, d.observe)
}

func TestMetricsSurviveShortFields(t *testing.T)       { atMetrics(t, manyShortFieldsForm) }
func TestMetricsSurviveLargeHeads(t *testing.T)        { atMetrics(t, largeHeadForm) }
func TestMetricsSurviveShortBodies(t *testing.T)       { atMetrics(t, shortBodyForm) }
func TestMetricsSurviveSlowHeads(t *testing.T)         { atMetrics(t, slowHeadForm) }
func TestMetricsSurviveRequestsAhead(t *testing.T)     { atMetrics(t, aheadForm) }
func TestMetricsSurviveSilentConnections(t *testing.T) { atMetrics(t, silentForm) }

// atRelay tests a crowd at the address for other routers.
func atRelay(t *testing.T, f form) {
	t.Helper()
	d := start(t, 1)
	surviveBeside(t, d.router, f, target{address: d.relay, method: http.MethodPost, path: "/pay/x", header: id() + withKey}, d.awaitAnswer, d.observe)
}

func TestRelaySurvivesShortFields(t *testing.T)       { atRelay(t, manyShortFieldsForm) }
func TestRelaySurvivesShortBodies(t *testing.T)       { atRelay(t, shortBodyForm) }
func TestRelaySurvivesEndlessChunks(t *testing.T)     { atRelay(t, endlessChunksForm) }
func TestRelaySurvivesRequestsAhead(t *testing.T)     { atRelay(t, aheadForm) }
func TestRelaySurvivesSilentConnections(t *testing.T) { atRelay(t, silentForm) }
