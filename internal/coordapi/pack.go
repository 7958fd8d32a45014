package coordapi

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxUnpacked bounds what a packed value may unpack to: 64 MiB.
const maxUnpacked = 64 << 20

// compressors are kept: one takes about 1 MB to set up.
var compressors = sync.Pool{New: func() any {
	// The level is a constant that the package accepts.
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return w
}}

// Pack returns the compressed JSON of a value. The leader packs what goes to
// all routers once, and not once for each.
func Pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	compressor := compressors.Get().(*gzip.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	if err := json.NewEncoder(compressor).Encode(value); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack made.
func Unpack(packed []byte, value any) error {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	err = json.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(value)
	return errors.Wrap(err, "unpack")
}
