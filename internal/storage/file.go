package storage

import (
	"github.com/cockroachdb/errors"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// File is a small file that is replaced whole and durably.
type File struct {
	fs      vfs.FS
	dir     string
	name    string
	content []byte
}

// OpenFile reads a file of the folder, creating the folder if needed. A file
// that is not there is empty.
func OpenFile(fs vfs.FS, dir, name string) (*File, error) {
	if err := makeFolder(fs, dir); err != nil {
		return nil, err
	}
	content, err := readFile(fs, fs.PathJoin(dir, name))
	if err != nil {
		return nil, err
	}
	return &File{fs: fs, dir: dir, name: name, content: content}, nil
}

// Content returns what the file held when it was opened.
func (f *File) Content() []byte { return f.content }

// Replace makes new content durable. After a crash the file holds the old or
// the new content, never a mixture.
func (f *File) Replace(content []byte) error {
	file, err := replaceFile(f.fs, f.dir, f.name, content)
	if err != nil {
		return err
	}
	return errors.Wrap(file.Close(), "close file")
}
