package forward

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"quinceridge.example/quinceridge/internal/memory"
)

func TestRequestBodyIsReadWholeWhateverItsSizeAndPieces(t *testing.T) {
	for _, size := range []int{0, 1, minBuffer - 1, minBuffer, minBuffer + 1, trustedBuffer, trustedBuffer + 1, 1<<20 - 1, 1 << 20} {
		text := bytes.Repeat([]byte("x"), size)
		for _, length := range []int64{-1, int64(size)} {
			for _, reader := range []io.Reader{bytes.NewReader(text), iotest.DataErrReader(bytes.NewReader(text)), iotest.HalfReader(bytes.NewReader(text))} {
				b := memory.NewBudget(4 << 20)
				reserved := b.NewReservation()
				body, err := readRequestBody(reader, length, 1<<20, &reserved)
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(body, text))
				if size > minBuffer {
					assert.Equal(t, b.Used(), int64(cap(body)))
				}
				reserved.Release()
				assert.Equal(t, b.Used(), int64(0))
			}
		}
	}
}

func TestRequestBodyThatEndsEarlyIsIncomplete(t *testing.T) {
	reserved := memory.NewBudget(1 << 20).NewReservation()
	_, err := readRequestBody(bytes.NewReader(make([]byte, 10)), 11, 100, &reserved)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
}

func TestRequestBodyBeyondBudgetIsNotRead(t *testing.T) {
	for _, length := range []int64{-1, 1 << 20} {
		b := memory.NewBudget(512 << 10)
		reserved := b.NewReservation()
		_, err := readRequestBody(bytes.NewReader(make([]byte, 1<<20)), length, 1<<20, &reserved)
		assert.Assert(t, errors.Is(err, errMemory))
		reserved.Release()
		assert.Equal(t, b.Used(), int64(0))
	}
}
