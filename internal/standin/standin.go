// Package standin holds the code shared by the stand-ins for external systems. They are used only
// in rehearsals and tests.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Word returns the token at index of the answer to a prompt. It depends only on its arguments, so a
// caller can check that an answer is its own, complete and in order, whichever engine sent it.
func Word(prompt uint64, index int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	mixed := (prompt + uint64(index)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	mixed ^= mixed >> 31
	var word [6]byte
	for i := range word[:5] {
		word[i] = letters[mixed%26]
		mixed /= 26
	}
	word[5] = ' '
	return string(word[:])
}

// PromptDigest returns the digest of a prompt that Word takes.
func PromptDigest(text []byte) uint64 { return xxhash.Sum64(text) }

// Journal is a file of JSON lines that the launcher reads after a run. Lines are written unbuffered
// and survive a kill of the process. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens the journal called name in dir for appending and creates dir if needed.
func OpenJournal(dir, name string) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	return &Journal{file: file}, errors.Wrap(err, "open journal")
}

// Write appends value as a line of JSON. Errors are ignored.
func (j *Journal) Write(value any) {
	line, err := json.Marshal(value)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(line, '\n'))
}

// Serve serves HTTP on address until ctx is canceled. It returns nil after cancellation.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
