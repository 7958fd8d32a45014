package coordapi

import "slices"

// Relays registers a router that accepts requests which other routers pass on, and requests the
// addresses of such routers. Registrations end with the leadership.
type Relays struct {
	Router string `json:"router"`
	Zone   string `json:"zone,omitempty"`
	// Address is where the router accepts requests of others, empty if it accepts none.
	Address string `json:"address,omitempty"`
	// Lost are the pools of which the router reaches no back end.
	Lost []string `json:"lost,omitempty"`
	// Known are the addresses of the routers that it knows, if it has lost a pool.
	Known []string `json:"known,omitempty"`
}

// RelayList is the reply to Relays. It includes the known routers that have lost a pool themselves.
type RelayList struct {
	Relays []Relay `json:"relays,omitempty"`
}

// Relay is a router that accepts requests of others.
type Relay struct {
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	// Lost are the pools of which it reaches no back end.
	Lost []string `json:"lost,omitempty"`
}

// Serves reports whether the router reaches a pool, or all pools if the name is empty.
func (r Relay) Serves(pool string) bool {
	if pool == "" {
		return len(r.Lost) == 0
	}
	return !slices.Contains(r.Lost, pool)
}
