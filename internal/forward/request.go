package forward

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/coordapi"
	"quinceridge.example/quinceridge/internal/upstream"
)

const (
	// maxSharedParts is the number of leading shared parts of a prompt that are considered. The rest counts
	// as the request's own part.
	maxSharedParts = 512
	// partBytes is the memory of a shared part in a request, in its query, and as digests.
	partBytes = 128
)

// buildRequest fills the request to the back end and the query for the choice. It returns false if there is no
// memory for the parts of the prompt. The urgency is not forwarded: a full engine would evict less urgent
// requests after processing their prompts.
func (h *Handler) buildRequest(r *http.Request, j *job) bool {
	names := &h.config.Headers
	header := make(http.Header, len(r.Header)+8)
	dropped := connectionHeaders(r.Header)
	for name, values := range r.Header {
		if !h.forbidden[name] && !dropped[name] {
			header[name] = values
		}
	}
	if j.tenant != nil {
		header.Set(names.Tenant, j.tenant.Name)
	}
	j.request = &upstream.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, ID: j.id,
		NonIdempotent: !j.route.Retryable(), Patience: j.deadline - h.now()}
	j.query = backends.Query{Pool: j.pool.Name, Target: j.route.Target, GapTarget: j.route.GapTarget}
	j.query.Claimant = coordapi.Claimant{Urgency: urgency(j), Tenant: j.tenantName()}
	if j.tenant != nil && j.tenant.Quota.Limited() {
		text := r.Header.Get(names.Usage)
		j.quotaAmount = j.tenant.Quota.Amount(parseUsage(text).Most, text != "")
	}
	engine := j.pool.Engine
	if engine == nil {
		return true
	}
	suffix := cacheSuffix(j.table, j.tenant)
	j.query.Model = r.Header.Get(names.Model)
	j.query.Slots, j.query.Capacity = engine.Slots, engine.CapacityTokens
	j.query.Work = parseUsage(r.Header.Get(names.Usage))
	chain := r.Header.Get(names.Prefix)
	count := min(strings.Count(chain, ","), maxSharedParts)
	if !j.memory.Grow(int64(count * partBytes)) {
		return false
	}
	var tokens []int
	j.parts, tokens = parseSharedParts(chain, count)
	j.query.Shared = sum(tokens)
	if len(j.parts) > 0 {
		j.query.Key = j.parts[len(j.parts)-1]
	}
	j.query.Work.Prompt = max(j.query.Work.Prompt-j.query.Shared, 0)
	j.query.UncachedTokens = func(version int) int {
		return sum(tokens[h.config.Saved.CountSaved(salt(j, version, suffix), j.parts):])
	}
	if j.query.Key != "" {
		j.query.Key += j.tenantSuffix()
	}
	j.query.Parts = placementParts(j, tokens, suffix)
	if store := j.store(); store != nil && len(j.parts) > 0 {
		j.query.Store, j.query.StoreTokens = store.Address, store.CapacityTokens
	}
	return true
}

// maxPriority is the highest priority value of a route; 0 is the most urgent.
const maxPriority = 9

// urgency ranks a request, 0 for the most urgent. The tenant's priority precedes the route's.
func urgency(j *job) int {
	rank := min(max(j.route.Priority, 0), maxPriority)
	if j.tenant != nil {
		rank += (maxPriority + 1) * max(j.tenant.Priority, 0)
	}
	return rank
}

// placementParts returns the shared parts as sent to the leader.
func placementParts(j *job, tokens []int, suffix string) []coordapi.Part {
	out := make([]coordapi.Part, len(j.parts))
	for i, id := range j.parts {
		out[i] = coordapi.Part{Hash: coordapi.PartHash(xxhash.Sum64String(id + suffix)), Tokens: tokens[i]}
	}
	return out
}

// connectionHeaders returns the headers that Connection lists.
func connectionHeaders(header http.Header) map[string]bool {
	var out map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if out == nil {
				out = map[string]bool{}
			}
			out[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}

// parseUsage parses "prompt,output" token counts. Work.Most is their sum.
func parseUsage(text string) backends.Work {
	prompt, most, _ := strings.Cut(text, ",")
	p, _ := strconv.Atoi(strings.TrimSpace(prompt))
	m, _ := strconv.Atoi(strings.TrimSpace(most))
	return backends.Work{Prompt: p, Most: p + m}
}

// parseSharedParts returns the first count parts of a prefix chain: their IDs and their lengths in tokens. All
// parts but the last are shared with other requests.
func parseSharedParts(chain string, count int) (ids []string, tokens []int) {
	if count == 0 {
		return nil, nil
	}
	ids, tokens = make([]string, 0, count), make([]int, 0, count)
	for part := range strings.SplitSeq(chain, ",") {
		if len(ids) == count {
			break
		}
		name, length, _ := strings.Cut(part, ":")
		number, _ := strconv.Atoi(strings.TrimSpace(length))
		ids = append(ids, strings.TrimSpace(name))
		tokens = append(tokens, number)
	}
	return ids, tokens
}

func sum(tokens []int) int {
	total := 0
	for _, n := range tokens {
		total += n
	}
	return total
}
