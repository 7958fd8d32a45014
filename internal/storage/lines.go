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

// decodeLog reads the records of a log file. A last batch that a crash left
// unfinished was never acknowledged and is dropped whole; torn is the length of
// what cannot be read of it. A hole in an earlier batch is ErrDamaged.
func decodeLog(data []byte) (records []record, torn int, err error) {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		var r record
		if whole && decodeLine(line, &r) {
			records = append(records, r)
			data = rest
			continue
		}
		if laterBatch(rest, records) {
			return records, len(data), errors.Wrapf(ErrCorrupt, "record %d", len(records)+1)
		}
		return wholeBatches(records), len(data), nil
	}
	return wholeBatches(records), 0, nil
}

// wholeBatches drops the records of a last batch that lacks some.
func wholeBatches(records []record) []record {
	count := len(records)
	if count == 0 || records[count-1].Left == 0 {
		return records
	}
	unfinished := records[count-1].Batch
	for count > 0 && records[count-1].Batch == unfinished {
		count--
	}
	return records[:count]
}

// laterBatch tells whether any sound line of data belongs to a batch after the
// one that has a hole behind the given records.
func laterBatch(data []byte, before []record) bool {
	holed := uint64(1)
	if count := len(before); count > 0 {
		last := before[count-1]
		holed = last.Batch
		if last.Left == 0 {
			holed++
		}
	}
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte{'\n'})
		var r record
		if whole && decodeLine(line, &r) && r.Batch > holed {
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
