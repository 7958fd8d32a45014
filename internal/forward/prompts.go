package forward

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/vocabulary"
)

const (
	// saversWanted is how many routers save a prompt's shared parts to the
	// store. A save carries the request's own part too, which nobody fetches,
	// so that saving at each request would wash the store out.
	saversWanted = 3
	// saveEvery is how often a router saves the same parts again.
	saveEvery = 15 * time.Second
	// maxSaved bounds what a router remembers of its saves.
	maxSaved = 20000
)

// prompts decides where kept prompts are taken from and sent to. It is safe
// for concurrent use.
type prompts struct {
	router string
	names  *vocabulary.Headers
	mu     sync.Mutex
	saved  map[string]time.Duration
}

func newPrompts(router string, names *vocabulary.Headers) *prompts {
	return &prompts{router: router, names: names, saved: map[string]time.Duration{}}
}

// address fills the headers of a generation that is sent to a back end. A
// prompt's home takes what it lacks from the store; any other engine takes it
// from the home, whose link is free more often.
func (p *prompts) address(now time.Duration, routers int, j *job, choice backends.Choice, header http.Header) {
	header.Del(p.names.FetchFrom)
	header.Del(p.names.SaveTo)
	salt := salt(j, choice)
	header.Set(p.names.Salt, salt)
	if j.query.Key == "" || !choice.Versioned {
		return
	}
	store := j.table.Store()
	if !choice.Home {
		header.Set(p.names.FetchFrom, choice.HomeAddress)
	} else if store != nil {
		header.Set(p.names.FetchFrom, store.Address)
	}
	if store != nil && p.due(now, routers, salt+"/"+j.query.Key) {
		header.Set(p.names.SaveTo, store.Address)
	}
}

// due tells whether this router is to save the parts now.
func (p *prompts) due(now time.Duration, routers int, parts string) bool {
	if routers > saversWanted && xxhash.Sum64String(parts+"/"+p.router)%uint64(routers) >= saversWanted {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, known := p.saved[parts]; known && now-at < saveEvery {
		return false
	}
	if len(p.saved) >= maxSaved {
		clear(p.saved)
	}
	p.saved[parts] = now
	return true
}

// salt separates kept prompts by model, version and isolated tenant.
func salt(j *job, choice backends.Choice) string {
	text := j.query.Model + "/" + strconv.Itoa(choice.Version)
	if j.tenant != nil && j.tenant.Isolated {
		text += "/" + j.tenant.Name
	}
	return text
}
