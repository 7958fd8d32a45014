package coordapi

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxUnpacked is the maximum size of an unpacked value: 64 MiB.
const maxUnpacked = 64 << 20

// compressors reuses gzip writers, since each allocates about 1 MB.
var compressors = sync.Pool{New: func() any {
	// NewWriterLevel fails only for an invalid level.
	w, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	return w
}}

// Pack returns the compressed JSON of a value, which the leader computes once for all routers.
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

// Unpack decodes the output of Pack into value.
func Unpack(packed []byte, value any) error {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	err = json.NewDecoder(io.LimitReader(reader, maxUnpacked)).Decode(value)
	return errors.Wrap(err, "unpack")
}
