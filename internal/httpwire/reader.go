package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
)

// BufferSize is the size of a Reader's buffer in bytes unless a longer head arrives.
const BufferSize = 4 << 10

// Reader reads the responses of one connection.
type Reader struct {
	source io.Reader
	buffer *bufio.Reader
}

// NewReader returns a Reader of what source brings.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: bufio.NewReaderSize(source, BufferSize)}
}

// Await waits for the first byte of a response.
func (r *Reader) Await() error {
	_, err := r.buffer.Peek(1)
	return err
}

// Buffered returns the number of bytes that have arrived and that no response took.
func (r *Reader) Buffered() int { return r.buffer.Buffered() }

// Size returns the size of the buffer in bytes.
func (r *Reader) Size() int { return r.buffer.Size() }

// ReadResponse reads the head of a response, also of an informational one. Errors match ErrMalformed or ErrHeadSize, or are
// those of the source. The body must have been read to its end before the next response; its trailers are checked and
// dropped.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	if _, err := r.peekSection(false); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffer, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = &chunkedBody{reader: r, chunks: httputil.NewChunkedReader(r.buffer)}
	}
	return response, nil
}

// peekSection waits until the buffer holds a whole head or trailer section, and returns its size.
func (r *Reader) peekSection(trailers bool) (size int, err error) {
	s := section{trailers: trailers}
	for {
		arrived, _ := r.buffer.Peek(r.buffer.Buffered())
		ended, err := s.check(arrived)
		switch {
		case err != nil:
			return 0, err
		case ended:
			return s.checked, nil
		case len(arrived) >= MaxHead:
			return 0, ErrHeadSize
		case len(arrived) == r.buffer.Size():
			r.grow(arrived)
		}
		if _, err := r.buffer.Peek(len(arrived) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return 0, err
		}
	}
}

// grow doubles the buffer, which holds arrived.
func (r *Reader) grow(arrived []byte) {
	r.buffer = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(arrived)), r.source), 2*len(arrived))
	_, _ = r.buffer.Peek(len(arrived))
}

// chunkedBody is a body in chunks.
type chunkedBody struct {
	reader *Reader
	chunks io.Reader
	// end is the error of reads behind the last chunk, nil before.
	end error
}

// Read implements io.Reader. It returns io.EOF only behind the trailer section.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if err == nil || (err == io.EOF && n > 0) {
		// The trailers are not awaited while there is something to return.
		return n, nil
	}
	b.end = b.endError(err)
	return n, b.end
}

// endError returns the error of a body whose chunks end with err.
func (b *chunkedBody) endError(err error) error {
	var failed net.Error
	switch {
	case err == io.EOF:
		size, err := b.reader.peekSection(true)
		if err != nil {
			return err
		}
		_, _ = b.reader.buffer.Discard(size)
		return io.EOF
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &failed):
		return err
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}

// Close implements io.Closer. It reads nothing.
func (b *chunkedBody) Close() error { return nil }
