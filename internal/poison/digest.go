// Package poison detects what ends the back ends that run it: poison requests, and shared parts of
// prompts. Clients resend a poison request under new IDs and through any router, and no two requests
// with such a part are alike. Each attempt ends another back end together with all other requests
// that it runs.
//
// The package does no I/O; time is an argument.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Digest identifies the content of a request, or a shared part of its prompt. Requests with the same
// tenant, method, host, target and body have the same digest. It is a prefix of a SHA-256 sum, so
// that a client cannot forge the digest of another tenant's request. 0 is no digest.
type Digest uint64

// String returns the digest as 16 hexadecimal digits.
func (d Digest) String() string {
	text := strconv.FormatUint(uint64(d), 16)
	return "0000000000000000"[len(text):] + text
}

// ParseDigest parses the result of String.
func ParseDigest(text string) (Digest, error) {
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != 16 || number == 0 {
		return 0, errors.Newf("%q is not a digest of 16 hexadecimal digits", text)
	}
	return Digest(number), nil
}

// maxJoined bounds the digests in the result of Join.
const maxJoined = 16

// Join formats digests for a log line: the first ones, separated by commas.
func Join(digests []Digest) string {
	var text strings.Builder
	for i, d := range digests[:min(len(digests), maxJoined)] {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(d.String())
	}
	return text.String()
}

// partMarker precedes what is hashed of a part of a prompt. It is no length, so that no request has
// the digest of a part.
const partMarker = math.MaxUint64

// PartDigest returns the digest of a shared part of a prompt. Scope is the tenant if that one shares
// no parts with others, and empty for all other tenants.
func PartDigest(scope, name string) Digest {
	text := make([]byte, 0, len(scope)+len(name)+2*binary.MaxVarintLen64)
	text = binary.AppendUvarint(text, partMarker)
	text = binary.AppendUvarint(text, uint64(len(scope)))
	text = append(append(text, scope...), name...)
	sum := sha256.Sum256(text)
	return max(Digest(binary.BigEndian.Uint64(sum[:])), 1)
}

// DigestOf returns the digest of a request. Caller is the tenant, empty on routes that need no
// key; target is the path with its query.
func DigestOf(caller, method, host, target string, body []byte) Digest {
	head := make([]byte, 0, len(caller)+len(method)+len(host)+len(target)+4*binary.MaxVarintLen64)
	for _, part := range []string{caller, method, host, target} {
		head = binary.AppendUvarint(head, uint64(len(part)))
		head = append(head, part...)
	}
	sum := sha256.New()
	// Write of a hash returns no error.
	_, _ = sum.Write(head)
	_, _ = sum.Write(body)
	var out [sha256.Size]byte
	digest := Digest(binary.BigEndian.Uint64(sum.Sum(out[:0])))
	return max(digest, 1)
}
