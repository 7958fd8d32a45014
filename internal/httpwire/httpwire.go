// Package httpwire reads HTTP/1.x responses strictly: bytes that RFC 9110 and RFC 9112 do not allow are an error, and
// nothing of such a response is returned. net/http accepts some of them, such as blanks in field names, any three digits as
// a status, and Transfer-Encoding in HTTP/1.0, which it ignores.
package httpwire

import "errors"

// MaxHead bounds the head of a response, and its trailers, in bytes.
const MaxHead = 64 << 10

var (
	// ErrMalformed means that bytes are no response, or none to a request of this client.
	ErrMalformed = errors.New("the response is malformed")
	// ErrHeadSize means that a head or trailer section exceeds MaxHead.
	ErrHeadSize = errors.New("the header of the response is too large")
)
