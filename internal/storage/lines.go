package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/cockroachdb/errors"
)

// checksumDigits is the length of the checksum before each line's JSON text.
const checksumDigits = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encode appends one checked line to lines.
func encode(lines []byte, value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		// Records are made of plain structs; only invalid raw JSON fails here,
		// and proposals are checked before they reach the log.
		panic(errors.Wrap(err, "encode record"))
	}
	lines = fmt.Appendf(lines, "%08x ", crc32.Checksum(text, castagnoli))
	lines = append(lines, text...)
	return append(lines, '\n')
}

// decodeAll reads all lines. Torn is the length of a damaged tail. Damage that
// sound lines follow is ErrDamaged.
func decodeAll[T any](data []byte) (values []T, torn int, err error) {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		var value T
		if !whole || !decodeLine(line, &value) {
			if soundLine(rest) {
				return values, len(data), errors.Wrapf(ErrDamaged, "record %d", len(values)+1)
			}
			return values, len(data), nil
		}
		values = append(values, value)
		data = rest
	}
	return values, 0, nil
}

// soundLine tells whether any whole line of data has a right checksum.
func soundLine(data []byte) bool {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		if whole && checked(line) != nil {
			return true
		}
		data = rest
	}
	return false
}

func decodeLine(line []byte, value any) bool {
	text := checked(line)
	return text != nil && json.Unmarshal(text, value) == nil
}

// checked returns the JSON text of a line whose checksum is right, else nil.
func checked(line []byte) []byte {
	if len(line) < checksumDigits+2 || line[checksumDigits] != ' ' {
		return nil
	}
	sum, err := strconv.ParseUint(string(line[:checksumDigits]), 16, 32)
	text := line[checksumDigits+1:]
	if err != nil || uint32(sum) != crc32.Checksum(text, castagnoli) {
		return nil
	}
	return text
}
