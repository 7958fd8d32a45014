package isolation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func change(before *History, version uint64, sharing, isolated []string) *History {
	return Next(before, version, &Tenants{Sharing: sharing, Isolated: isolated})
}

// The scope changes only where a tenant that has shared in it becomes isolated.
func TestScopeChangesOnlyWhereIsolationRequiresIt(t *testing.T) {
	h := change(First(), 1, []string{"a", "b"}, nil)
	assert.Equal(t, h.Scope, Scope(""))
	steps := []struct {
		name              string
		sharing, isolated []string
		scope             Scope
	}{
		{"a new isolated tenant", []string{"a", "b"}, []string{"new"}, ""},
		{"an isolated tenant leaves", []string{"a", "b"}, nil, ""},
		{"a becomes isolated", []string{"b"}, []string{"a"}, "since-4"},
		{"nothing changes", []string{"b"}, []string{"a"}, "since-4"},
		{"a shares again", []string{"a", "b"}, nil, "since-4"},
		{"a is isolated again", []string{"b"}, []string{"a"}, "since-7"},
		{"b leaves", nil, []string{"a"}, "since-7"},
		{"b returns isolated", []string{"c"}, []string{"a", "b"}, "since-9"},
	}
	for i, s := range steps {
		h = change(h, uint64(i+2), s.sharing, s.isolated)
		assert.Equal(t, h.Scope, s.scope, s.name)
	}
}

// A history that begins at an upgrade keeps the scope that routers use without one.
func TestHistoryThatBeginsLateKeepsScope(t *testing.T) {
	h := change(nil, 5, []string{"b"}, []string{"a"})
	assert.Equal(t, h.Scope, ScopeWithout([]string{"a"}))
	h = change(h, 6, []string{"b", "c"}, []string{"a"})
	assert.Equal(t, h.Scope, ScopeWithout([]string{"a"}))
	h = change(h, 7, []string{"c"}, []string{"a", "x"})
	assert.Equal(t, h.Scope, Scope("since-7"), "x may have shared before")
	assert.Assert(t, Next(h, 8, nil) == nil)
}

// No tenant finds what another one has cached if one of both is isolated, whatever changes and whichever
// leaders know the history.
func TestIsolatedTenantsNeverShareAcrossChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		cached, h := map[Scope]map[string]bool{}, First()
		for version := uint64(1); version < 30; version++ {
			tenants := &Tenants{}
			for _, name := range names {
				switch rapid.IntRange(0, 2).Draw(t, fmt.Sprint(name, version)) {
				case 0:
					tenants.Sharing = append(tenants.Sharing, name)
				case 1:
					tenants.Isolated = append(tenants.Isolated, name)
				}
			}
			known := rapid.IntRange(0, 5).Draw(t, fmt.Sprint("known", version)) > 0
			if h = Next(h, version, tenants); !known {
				h = Next(h, version, nil)
			}
			// A leader of an older build does not announce the scope that this one has recorded.
			scope := ScopeWithout(tenants.Isolated)
			if h != nil && rapid.Bool().Draw(t, fmt.Sprint("announced", version)) {
				scope = h.Scope
			}
			if cached[scope] == nil {
				cached[scope] = map[string]bool{}
			}
			for _, name := range tenants.Isolated {
				if len(tenants.Sharing) > 0 && cached[scope][name] {
					t.Fatalf("version %d: scope %q has what %s has cached, which is isolated", version, scope, name)
				}
			}
			for _, name := range tenants.Sharing {
				cached[scope][name] = true
			}
		}
	})
}
