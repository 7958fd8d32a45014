// Package poison tells requests that end the back ends which run them from those
// that only ran beside them. Such a request is called a poison request: its caller,
// or several, send it again under new IDs and at any router, and each time another
// back end ends with all that it was running.
//
// The package does no I/O; time is an argument.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Digest names what a request asks for: requests with equal caller, method, host,
// target and body have the same. It is a part of a SHA-256 sum, so that no caller
// can make a request that has the digest of another caller's. 0 means none.
type Digest uint64

// String returns the digest as it stands in logs: 16 hexadecimal digits.
func (d Digest) String() string {
	text := strconv.FormatUint(uint64(d), 16)
	return "0000000000000000"[len(text):] + text
}

// ParseDigest reads a digest as String writes it.
func ParseDigest(text string) (Digest, error) {
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || number == 0 {
		return 0, errors.Newf("%q is not a digest of 16 hexadecimal digits", text)
	}
	return Digest(number), nil
}

// DigestOf returns the digest of a request. Caller is the tenant, empty on routes
// that need no key; target is the path with its query.
func DigestOf(caller, method, host, target string, body []byte) Digest {
	head := make([]byte, 0, len(caller)+len(method)+len(host)+len(target)+4*binary.MaxVarintLen64)
	for _, part := range []string{caller, method, host, target} {
		head = binary.AppendUvarint(head, uint64(len(part)))
		head = append(head, part...)
	}
	sum := sha256.New()
	// A hash takes all that is written.
	_, _ = sum.Write(head)
	_, _ = sum.Write(body)
	var out [sha256.Size]byte
	digest := Digest(binary.BigEndian.Uint64(sum.Sum(out[:0])))
	return max(digest, 1)
}
