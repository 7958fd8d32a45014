package forward

import (
	"errors"
	"io"
	"math"

	"quinceridge.example/quinceridge/internal/memory"
)

const (
	// minBuffer is the first size of a buffer for a body. The memory of a request, requestBytes, covers it.
	minBuffer = 4 << 10
	// trustedBuffer is the size beyond which the whole announced length of a request's body is reserved. Less
	// is reserved before as much has arrived: clients may announce much and send nothing.
	trustedBuffer = 64 << 10
	// growthFactor is the factor by which the buffer of a body without a length grows.
	growthFactor = 4
)

var errMemory = errors.New("the memory for requests is used up")

// readReserved reads a body of the given length, negative if unknown, and reserves the memory for
// it beyond minBuffer. It returns errMemory with what it has read if the budget is used up, and stops after limit
// bytes.
func readReserved(reader io.Reader, length, limit int64, reserved *memory.Reservation) ([]byte, error) {
	if length >= 0 && length <= limit {
		if length > minBuffer && !reserved.Grow(length) {
			return nil, errMemory
		}
		body := make([]byte, length)
		n, err := io.ReadFull(reader, body)
		return body[:n], err
	}
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			more := int64(max(cap(body), minBuffer))
			if cap(body) > 0 && !reserved.Grow(more) {
				return body, errMemory
			}
			body = append(make([]byte, 0, int64(cap(body))+more), body...)
		}
		n, err := reader.Read(body[len(body):min(int64(cap(body)), limit)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// readRequestBody reads the body of a request of the given length, negative if unknown, of at most limit bytes.
// It returns errMemory if the budget is used up.
func readRequestBody(reader io.Reader, length, limit int64, reserved *memory.Reservation) ([]byte, error) {
	most := length
	if length < 0 {
		// Beyond the limit the reader returns an error.
		most = min(limit, math.MaxInt64-1) + 1
	}
	body := make([]byte, 0, min(most, minBuffer))
	for length < 0 || int64(len(body)) < length {
		if len(body) == cap(body) {
			larger, err := growBody(body, length, most, reserved)
			if err != nil {
				return body, err
			}
			body = larger
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && int64(len(body)) < length:
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// growBody returns a copy of a full buffer in a larger one, of at most most bytes.
func growBody(body []byte, length, most int64, reserved *memory.Reservation) ([]byte, error) {
	size := growthFactor * int64(cap(body))
	if length >= 0 {
		size = trustedBuffer
		if cap(body) >= trustedBuffer {
			size = length
		}
	}
	size = min(size, most)
	if !reserved.Grow(size) {
		return nil, errMemory
	}
	larger := append(make([]byte, 0, size), body...)
	if cap(body) > minBuffer {
		reserved.Shrink(int64(cap(body)))
	}
	return larger, nil
}
