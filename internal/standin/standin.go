// Package standin holds what the stand-ins of outside systems share. They exist
// for rehearsals and tests only.
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

// Word is the token at an index of the answer to a prompt. It depends on
// nothing else, so that a caller can tell whether it got its own answer, whole
// and in order, whichever engine gave it.
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

// PromptDigest names a prompt for Word.
func PromptDigest(text []byte) uint64 { return xxhash.Sum64(text) }

// Journal is a file of JSON lines that a stand-in leaves for the launcher. It
// outlives a kill of the process.
type Journal struct {
	mu   sync.Mutex
	file *os.File
}

// OpenJournal opens a journal of a data folder for appending.
func OpenJournal(dir, name string) (*Journal, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	file, err := os.OpenFile(filepath.Join(dir, name), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	return &Journal{file: file}, errors.Wrap(err, "open journal")
}

// Write appends a line.
func (j *Journal) Write(value any) {
	line, err := json.Marshal(value)
	if err != nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = j.file.Write(append(line, '\n'))
}

// Serve serves HTTP until the context ends.
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

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
