package state

import (
	"maps"
	"slices"
	"strings"
)

// Registry lists the routers of the deployment. A majority of routers is needed to accept a
// staged bundle, and for routers that lost contact with the control group to keep serving.
// Majorities must overlap, so a joining router becomes a member only after a majority of the
// members has received a registry that lists it.
type Registry struct {
	// Version is incremented by each change.
	Version uint64 `json:"version"`
	// Members are counted in majorities and may hold leases.
	Members map[string]Router `json:"members,omitempty"`
	// Joining are registered and not admitted yet.
	Joining map[string]Router `json:"joining,omitempty"`
}

func (g *Registry) init() {
	if g.Members == nil {
		g.Members = map[string]Router{}
	}
	if g.Joining == nil {
		g.Joining = map[string]Router{}
	}
}

// Clone returns a deep copy.
func (g *Registry) Clone() Registry {
	return Registry{Version: g.Version, Members: maps.Clone(g.Members), Joining: maps.Clone(g.Joining)}
}

// Find returns a member or joining router.
func (g *Registry) Find(name string) (router Router, known bool) {
	if member, ok := g.Members[name]; ok {
		return member, true
	}
	joining, ok := g.Joining[name]
	return joining, ok
}

// All returns members and joining routers, sorted by name.
func (g *Registry) All() []Router {
	all := make([]Router, 0, len(g.Members)+len(g.Joining))
	for _, router := range g.Members {
		all = append(all, router)
	}
	for _, router := range g.Joining {
		all = append(all, router)
	}
	slices.SortFunc(all, func(a, b Router) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// HasMajority reports whether the included routers are more than half of the members, and more
// than half of members and joining routers together.
func (g *Registry) HasMajority(named func(string) bool) bool {
	members, joining := 0, 0
	for name := range g.Members {
		if named(name) {
			members++
		}
	}
	for name := range g.Joining {
		if named(name) {
			joining++
		}
	}
	all := len(g.Members) + len(g.Joining)
	return members > len(g.Members)/2 && members+joining > all/2
}

func (m *Machine) register(r *Register) Result {
	g := &m.data.Registry
	for _, router := range r.Routers {
		switch _, member := g.Members[router.Name]; {
		case member || len(g.Members) == 0:
			g.Members[router.Name] = router
		default:
			g.Joining[router.Name] = router
		}
	}
	g.Version++
	return Result{Code: CodeOK}
}

func (m *Machine) admit(a *Admit) Result {
	g := &m.data.Registry
	head := ""
	if m.data.Head != nil {
		head = m.data.Head.Digest
	}
	staged := m.data.Pending != nil && m.data.Pending.Stage != 0
	if a.Version != g.Version || a.Head != head || staged {
		return Result{Code: CodeUnknown, Message: "the registry or the bundle has changed since"}
	}
	maps.Copy(g.Members, g.Joining)
	clear(g.Joining)
	g.Version++
	return Result{Code: CodeOK}
}

// retire removes routers. The operator must make sure that they are permanently stopped, or
// majorities of the old and the new registry might not overlap.
func (m *Machine) retire(r *Retire) Result {
	g := &m.data.Registry
	for _, name := range r.Names {
		if _, known := g.Find(name); !known {
			return Result{Code: CodeUnknown, Message: "no such router: " + name}
		}
	}
	for _, name := range r.Names {
		delete(g.Members, name)
		delete(g.Joining, name)
	}
	g.Version++
	return Result{Code: CodeOK}
}
