package edge

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"quinceridge.example/quinceridge/internal/traffic"
)

// A router of an older build that cannot decode the configuration in force must end to serve removed keys with
// its lease, show why, and serve again by the next one that it can decode.
func TestRouterWithUndecodableConfigurationRefusesWithCause(t *testing.T) {
	d := newDeployment(t, 3, 1, 1)
	s := d.routerSettings(1, d.config[0].Seeds)
	older := d.startRouterOfBuild(1, s, func(document []byte) (*traffic.Table, error) {
		table, err := traffic.Parse(document)
		if err == nil && table.Version == 2 {
			return nil, errors.New("route pay: unsupported kind")
		}
		return table, err
	})
	d.routers, d.frontend = append(d.routers, older), append(d.frontend, s.Listen)
	const current, old = 0, 1
	send := func(frontend int, key string) int {
		return d.send(frontend, key, "/pay/", fmt.Sprint("undecodable ", d.requests.Load())).status
	}
	await := func(frontend int, key string, status int) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := send(frontend, key); got != status {
				return poll.Continue("status %d instead of %d", got, status)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
	page := func(path string) (status int, body string) {
		response, err := http.Get("http://" + s.Readiness + path)
		assert.NilError(t, err)
		defer response.Body.Close()
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(text)
	}
	await(old, "ka", http.StatusOK)
	status, body := page("/readyz")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "")
	_, body = page("/metrics")
	assert.Assert(t, strings.Contains(body, "quinceridge_undecodable_configuration_version 0\n"))

	const alice = `{"name":"alice","keys":["ka"]},`
	assert.Assert(t, strings.Contains(testDocument, alice))
	without := strings.Replace(testDocument, alice, "", 1)
	d.configureDocument(2, strings.Replace(without, `"version":1`, `"version":2`, 1))
	acknowledged := time.Now()
	await(current, "ka", http.StatusUnauthorized)
	await(current, "kb", http.StatusOK)
	for time.Since(acknowledged) < s.Revocation {
		time.Sleep(10 * time.Millisecond)
	}
	for _, key := range []string{"ka", "kb"} {
		assert.Equal(t, send(old, key), http.StatusServiceUnavailable)
	}
	status, body = page("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "cannot decode configuration 2: route pay: unsupported kind\n")
	_, body = page("/metrics")
	assert.Assert(t, strings.Contains(body, "quinceridge_undecodable_configuration_version 2\n"))

	d.configureDocument(3, strings.Replace(without, `"version":1`, `"version":3`, 1))
	await(old, "kb", http.StatusOK)
	assert.Equal(t, send(old, "ka"), http.StatusUnauthorized)
	status, _ = page("/readyz")
	assert.Equal(t, status, http.StatusOK)
	_, body = page("/metrics")
	assert.Assert(t, strings.Contains(body, "quinceridge_undecodable_configuration_version 0\n"))
}
