package placer

import (
	"time"

	"quinceridge.example/quinceridge/internal/admission"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/state"
)

// softwareGone reports whether a request has to go on at a software version of which no engine serves it or
// will once it has loaded weights.
func (p *Placer) softwareGone(now time.Duration, ask *coordapi.Place) bool {
	return ask.Software != "" && !p.pool.ServesSoftware(p.query(now, ask))
}

// softwareLoads reports whether a request has to go on at a software version whose engines load weights.
func (p *Placer) softwareLoads(now time.Duration, ask *coordapi.Place) bool {
	return ask.Software != "" && p.pool.LoadsSoftware(p.query(now, ask))
}

// waitingSoftware returns the software version that a waiting request has to go on at, empty for any.
func (p *Placer) waitingSoftware(key admission.Key) state.SoftwareVersion {
	if r := p.routers[key.Router]; r != nil && r.waiting[key.Number] != nil {
		return r.waiting[key.Number].ask.Software
	}
	return ""
}

// misses counts the requests without capacity in a pass over a queue. Those that have to go on at a software
// version are counted by themselves, since its engines may be full while others are not.
type misses map[state.SoftwareVersion]int

// ends reports whether a pass is over.
func (m misses) ends() bool { return m[""] >= maxMisses }

// skips reports whether a request is not tried because others of its kind found no capacity.
func (m misses) skips(software state.SoftwareVersion) bool {
	return software != "" && m[software] >= maxMisses
}
