// Package cachemiss finds out why engines process shared parts of prompts again. Routers log each
// attempt at an engine in the format of this package; Replay reconstructs from these lines what each
// engine and store held, and assigns a cause to each part that was processed again.
package cachemiss

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// Keys of the attributes of a log line.
const (
	// PartsKey lists the shared parts of the prompt, and AttemptsKey the attempts at engines that ran.
	PartsKey    = "parts"
	AttemptsKey = "prefills"
)

const (
	// maxLoggedParts bounds the parts in a log line. The last one includes the tokens of those left
	// out.
	maxLoggedParts = 8
	// hashDigits is the length of a logged hash. With 48 bits, 100,000 parts have a common hash with
	// a probability of 2e-5.
	hashDigits = 12
	// NotReported is the number of cached tokens of an engine that reports none.
	NotReported = -1
)

// Attempt is an attempt at an engine. Times are by any clock that all attempts share.
type Attempt struct {
	Engine string
	Model  string
	// Version is the version of the engine's weights.
	Version int
	// Sent is when the request was sent, Begun when the response began, 0 if it did not, and Ended
	// when it ended.
	Sent, Begun, Ended time.Duration
	Parts              []coordapi.Part
	// Own is the number of the other tokens of the prompt, Most the maximum memory of the request and
	// Capacity that of the engine, in tokens.
	Own, Most, Capacity int
	// Source is the address from which the engine was to fetch shared parts, empty for none. Stored is
	// set if that is the store, and Saves if the engine was to save the parts to the store.
	Source string
	Stored bool
	Saves  bool
	// Address is the address of the engine.
	Address string
	// Holder is the state of the engine that the leader recorded as the holder of the last part.
	Holder coordapi.HolderState
	// Cached is the number of prompt tokens that the engine reported as cached, or NotReported.
	Cached int
}

// shared returns the number of shared tokens.
func (a *Attempt) shared() int {
	total := 0
	for _, part := range a.Parts {
		total += part.Tokens
	}
	return total
}

// FormatParts formats shared parts for a log line.
func FormatParts(parts []coordapi.Part) string {
	var text strings.Builder
	for i, part := range parts[:min(len(parts), maxLoggedParts)] {
		if i == maxLoggedParts-1 {
			for _, further := range parts[maxLoggedParts:] {
				part.Tokens += further.Tokens
			}
			part.Hash = parts[len(parts)-1].Hash
		}
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%0*x:%d", hashDigits, uint64(part.Hash)&(1<<(4*hashDigits)-1), part.Tokens)
	}
	return text.String()
}

func parseParts(text string) ([]coordapi.Part, error) {
	var parts []coordapi.Part
	for field := range strings.SplitSeq(text, ",") {
		hash, tokens, _ := strings.Cut(field, ":")
		h, err := strconv.ParseUint(hash, 16, 64)
		if err != nil {
			return nil, err
		}
		n, err := strconv.Atoi(tokens)
		if err != nil {
			return nil, err
		}
		parts = append(parts, coordapi.Part{Hash: coordapi.PartHash(h), Tokens: n})
	}
	return parts, nil
}

// FormatAttempts formats attempts, without their parts, for a log line that is written at now.
func FormatAttempts(now time.Duration, attempts []Attempt) string {
	texts := make([]string, len(attempts))
	for i := range attempts {
		texts[i] = attempts[i].format(now)
	}
	return strings.Join(texts, ";")
}

func (a *Attempt) format(now time.Duration) string {
	v := url.Values{}
	set := func(name string, n int) { v.Set(name, strconv.Itoa(n)) }
	ago := func(name string, at time.Duration) { set(name, int((now - at).Milliseconds())) }
	v.Set("engine", a.Engine)
	v.Set("at", a.Address)
	v.Set("model", a.Model)
	set("weights", a.Version)
	ago("sent", a.Sent)
	if a.Begun > 0 {
		ago("begun", a.Begun)
	}
	ago("ended", a.Ended)
	set("own", a.Own)
	set("most", a.Most)
	set("capacity", a.Capacity)
	if a.Source != "" {
		v.Set("from", a.Source)
	}
	if a.Stored {
		set("stored", 1)
	}
	if a.Saves {
		set("saves", 1)
	}
	if a.Holder != "" {
		v.Set("holder", string(a.Holder))
	}
	if a.Cached != NotReported {
		set("cached", a.Cached)
	}
	return v.Encode()
}

// parseAttempts parses the output of FormatAttempts in a line that was written at now.
func parseAttempts(now time.Duration, text string, parts []coordapi.Part) ([]Attempt, error) {
	var out []Attempt
	for field := range strings.SplitSeq(text, ";") {
		v, err := url.ParseQuery(field)
		if err != nil {
			return nil, err
		}
		number := func(name string) (n int) {
			if err == nil && v.Has(name) {
				n, err = strconv.Atoi(v.Get(name))
			}
			return n
		}
		ago := func(name string) time.Duration { return now - time.Duration(number(name))*time.Millisecond }
		a := Attempt{Engine: v.Get("engine"), Address: v.Get("at"), Model: v.Get("model"), Version: number("weights"), Sent: ago("sent"), Ended: ago("ended"),
			Parts: parts, Own: number("own"), Most: number("most"), Capacity: number("capacity"), Source: v.Get("from"), Stored: v.Has("stored"),
			Saves: v.Has("saves"), Holder: coordapi.HolderState(v.Get("holder")), Cached: NotReported}
		if v.Has("begun") {
			a.Begun = ago("begun")
		}
		if v.Has("cached") {
			a.Cached = number("cached")
		}
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}
