package forward

import (
	"errors"
	"io"

	"quinceridge.example/quinceridge/internal/memory"
)

// minBuffer is the first size of a buffer for a body without a length.
const minBuffer = 4 << 10

var errMemory = errors.New("the memory for requests is used up")

// readReserved reads a body of the given length, negative if unknown, and reserves the memory for
// it. It returns errMemory with what it has read if the budget is used up, and stops after limit
// bytes.
func readReserved(reader io.Reader, length, limit int64, reserved *memory.Reservation) ([]byte, error) {
	if length >= 0 && length <= limit {
		if !reserved.Grow(length) {
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
			if !reserved.Grow(more) {
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
