package coordapi

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"quinceridge.example/quinceridge/internal/state"
)

// maxWhole bounds what a packed Whole may unpack to: 64 MiB.
const maxWhole = 64 << 20

// Whole is all that a router must know of the replicated state. It is the same
// for all routers, so the leader packs it once for a revision. All routers of
// a deployment ask for it at once when all processes start anew.
type Whole struct {
	// Document is the configuration in force, nil before the first.
	Document json.RawMessage `json:"document,omitempty"`
	Backends []state.Backend `json:"backends,omitempty"`
}

// Pack returns the compressed form of w.
func (w Whole) Pack() ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressor")
	}
	if err := json.NewEncoder(compressor).Encode(w); err != nil {
		return nil, errors.Wrap(err, "encode the whole view")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the whole view")
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack made.
func Unpack(packed []byte) (Whole, error) {
	var w Whole
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return w, errors.Wrap(err, "unpack the whole view")
	}
	err = json.NewDecoder(io.LimitReader(reader, maxWhole)).Decode(&w)
	return w, errors.Wrap(err, "decode the whole view")
}
