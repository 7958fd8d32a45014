package storage

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/cockroachdb/errors"
)

// checksumDigits is the number of hex digits of the checksum before the JSON text of each line.
const checksumDigits = 8

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendLine appends the checksum and JSON text of a value as a line.
func appendLine(lines []byte, value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		// Only invalid raw JSON can fail here, and proposals are validated before they are
		// appended to the log.
		panic(errors.Wrap(err, "encode record"))
	}
	lines = fmt.Appendf(lines, "%08x ", crc32.Checksum(text, castagnoli))
	lines = append(lines, text...)
	return append(lines, '\n')
}

// decodeLog decodes the records of a log file. A last batch that a crash left incomplete was never
// acknowledged and is dropped. Torn is the number of bytes after the last complete batch. A
// damaged record in an earlier batch gives ErrCorrupt.
func decodeLog(data []byte) (records []record, torn int, err error) {
	torn = len(data)
	for len(data) > 0 {
		line, rest, complete := bytes.Cut(data, []byte{'\n'})
		var r record
		if complete && decodeLine(line, &r) {
			records = append(records, r)
			data = rest
			if r.Remaining == 0 {
				torn = len(data)
			}
			continue
		}
		if hasLaterBatch(rest, records) {
			return records, torn, errors.Wrapf(ErrCorrupt, "record %d", len(records)+1)
		}
		break
	}
	return completeBatches(records), torn, nil
}

// completeBatches returns the records without those of an incomplete last batch.
func completeBatches(records []record) []record {
	count := len(records)
	if count == 0 || records[count-1].Remaining == 0 {
		return records
	}
	incomplete := records[count-1].Batch
	for count > 0 && records[count-1].Batch == incomplete {
		count--
	}
	return records[:count]
}

// lastBatch returns the lines of the last batch of a log of complete batches.
func lastBatch(log []byte, records []record) []byte {
	start := len(log)
	for i := len(records) - 1; i >= 0 && records[i].Batch == records[len(records)-1].Batch; i-- {
		start = bytes.LastIndexByte(log[:start-1], '\n') + 1
	}
	return log[start:]
}

// hasLaterBatch reports whether data has a valid record of a batch after the damaged one, which is
// the batch that follows or continues the records before.
func hasLaterBatch(data []byte, before []record) bool {
	damagedBatch := uint64(1)
	if count := len(before); count > 0 {
		last := before[count-1]
		damagedBatch = last.Batch
		if last.Remaining == 0 {
			damagedBatch++
		}
	}
	for len(data) > 0 {
		line, rest, complete := bytes.Cut(data, []byte{'\n'})
		var r record
		if complete && decodeLine(line, &r) && r.Batch > damagedBatch {
			return true
		}
		data = rest
	}
	return false
}

func decodeLine(line []byte, value any) bool {
	text := verifyLine(line)
	return text != nil && json.Unmarshal(text, value) == nil
}

// verifyLine returns the JSON text of a line, or nil if its checksum does not match.
func verifyLine(line []byte) []byte {
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
