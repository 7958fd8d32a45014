// Package resumption records which back end began each stream. What back ends of two software versions
// write does not fit together, so that a stream that is resumed has to go on at the version that began
// it, whichever router its client asks next.
//
// A router keeps a Table of the streams that it began. While back ends of several versions serve a pool
// it also sends the records to Keepers of each stream, some of the coordinators, which other routers ask.
// The package does no I/O; callers pass the time.
package resumption

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/state"
)

const (
	// keepersPerStream is the number of coordinators that keep a record: a deployment must bear the loss
	// of two.
	keepersPerStream = 3
	// MinLife is the least time for which streams are assumed to be resumed, and lifeFactor the factor
	// by which that time exceeds the longest time-out of a route: a client may begin an attempt at the
	// end of another one.
	MinLife    = 30 * time.Second
	lifeFactor = 2
)

// Life returns the time for which a stream may be resumed, given the longest time-out of a route.
func Life(longestTimeout time.Duration) time.Duration { return max(MinLife, lifeFactor*longestTimeout) }

// Key identifies a stream by its tenant and the client's ID of the attempt that brought its first event.
// It is a prefix of a SHA-256 sum, so that a client cannot name the stream of another tenant.
type Key [16]byte

// KeyOf returns the key of a stream; the tenant is empty on routes that need no key.
func KeyOf(tenant, attempt string) Key {
	text := binary.AppendUvarint(make([]byte, 0, len(tenant)+len(attempt)+binary.MaxVarintLen64), uint64(len(tenant)))
	text = append(append(text, tenant...), attempt...)
	sum := sha256.Sum256(text)
	return Key(sum[:len(Key{})])
}

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, k[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return errors.Newf("%.64q is not a key of %d hexadecimal digits", text, hex.EncodedLen(len(k)))
	}
	_, err := hex.Decode(k[:], text)
	return errors.Wrap(err, "decode key")
}

// Writer is the back end that wrote the events of a stream.
type Writer struct {
	Pool string `json:"pool"`
	// Backend is the ID of the row of its start.
	Backend string `json:"backend"`
	// Software is its software version. It is empty if that is not known, and nothing may be assumed of
	// the stream then.
	Software state.SoftwareVersion `json:"software,omitempty"`
}

// Known reports whether the version that the stream has to go on at is known.
func (w *Writer) Known() bool { return w.Software != "" }

// fits reports whether two writers may have written events of one stream.
func (w *Writer) fits(other *Writer) bool {
	return w.Pool == other.Pool && w.Software == other.Software && w.Known()
}

// Record names the writer of a stream.
type Record struct {
	Key    Key    `json:"key"`
	Writer Writer `json:"writer"`
	// Left is the time for which the stream may still be resumed.
	Left time.Duration `json:"left"`
	// Identified is set if the back end was asked which start it is, so that no other process can have
	// written the events in its name. Only the router that began the stream uses it.
	Identified bool `json:"-"`
}

// Keepers returns the coordinators that keep the record of a stream, given the addresses of all.
func Keepers(key Key, coordinators []string) []string {
	type ranked struct {
		address string
		rank    uint64
	}
	all := make([]ranked, len(coordinators))
	for i, address := range coordinators {
		all[i] = ranked{address, xxhash.Sum64String(string(key[:]) + address)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.rank != b.rank && a.rank < b.rank {
			return -1
		}
		if a.rank != b.rank {
			return 1
		}
		return strings.Compare(a.address, b.address)
	})
	out := make([]string, 0, keepersPerStream)
	for _, r := range all[:min(keepersPerStream, len(all))] {
		out = append(out, r.address)
	}
	return out
}
