package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// File is a small file whose content is replaced atomically and durably.
type File struct {
	fs      vfs.FS
	dir     string
	name    string
	content []byte
}

// OpenFile reads a file of the directory dir, which it creates if needed. A file that does not
// exist is treated as empty.
func OpenFile(fs vfs.FS, dir, name string) (*File, error) {
	if err := makeDir(fs, dir); err != nil {
		return nil, err
	}
	content, err := readFile(fs, fs.PathJoin(dir, name))
	if err != nil {
		return nil, err
	}
	return &File{fs: fs, dir: dir, name: name, content: content}, nil
}

// Content returns the content of the file when it was opened.
func (f *File) Content() []byte { return f.content }

// Replace writes new content durably. After a crash the file has either the old or the new
// content.
func (f *File) Replace(content []byte) error {
	file, err := replaceFile(f.fs, f.dir, f.name, content)
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close file")
}
