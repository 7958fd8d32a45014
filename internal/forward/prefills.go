package forward

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"quinceridge.example/quinceridge/internal/backends"
	"quinceridge.example/quinceridge/internal/cachemiss"
)

// recordPrefill records for the log that an engine responded to a prompt with shared parts. An engine
// that rejected the request has processed nothing.
func (h *Handler) recordPrefill(j *job, choice backends.Choice, header http.Header, result outcome, sent, begun time.Duration) {
	if len(j.query.Parts) == 0 || !choice.Versioned || result.verdict == notRun {
		return
	}
	names, sentHeader := &h.config.Headers, j.request.Header
	a := cachemiss.Attempt{Engine: choice.ID, Address: choice.Address, Model: j.query.Model, Version: choice.Version, Sent: sent, Begun: begun, Ended: h.now(),
		Own: j.query.Work.Prompt, Most: j.query.Work.Most, Capacity: j.query.Capacity, Source: sentHeader.Get(names.FetchFrom),
		Saves: sentHeader.Get(names.SaveTo) != "", Holder: choice.Holder, Cached: cachemiss.NotReported}
	store := j.store()
	a.Stored = store != nil && a.Source == store.Address
	if names.CachedTokens != "" {
		if cached, err := strconv.Atoi(header.Get(names.CachedTokens)); err == nil && cached >= 0 {
			a.Cached = cached
		}
	}
	j.prefills = append(j.prefills, a)
}

// prefillAttributes returns what was recorded, or an empty attribute, which is not logged.
func (h *Handler) prefillAttributes(j *job) slog.Attr {
	if len(j.prefills) == 0 {
		return slog.Attr{}
	}
	// A group without a key is inlined.
	return slog.Group("", cachemiss.PartsKey, cachemiss.FormatParts(j.query.Parts), cachemiss.AttemptsKey, cachemiss.FormatAttempts(h.now(), j.prefills))
}
