package cachemiss

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLine is the maximum length of a log line.
const maxLine = 4 << 20

// Log is what the logs of routers and leaders state about cached parts.
type Log struct {
	Attempts []Attempt
	// Departures are the engines that the leader removed.
	Departures []Departure
}

// Departure is the removal of an engine, whose cache is lost then.
type Departure struct {
	At     time.Duration
	Engine string
}

// departureMessages are the messages of the leader's lines that list removed engines.
var departureMessages = map[string]bool{"removing back ends": true, "removing superseded starts": true}

// Read adds the lines of a log, in either format of the processes, to l. It ignores lines that do
// not concern it.
func (l *Log) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for number := 1; lines.Scan(); number++ {
		line := lines.Text()
		if !strings.Contains(line, AttemptsKey) && !strings.Contains(line, "removing ") {
			continue
		}
		attributes := parseLine(line)
		if attributes["time"] == "" {
			continue
		}
		if err := l.add(attributes); err != nil {
			return errors.Wrapf(err, "line %d", number)
		}
	}
	return errors.Wrap(lines.Err(), "read log")
}

func (l *Log) add(attributes map[string]string) error {
	written, err := time.Parse(time.RFC3339Nano, attributes["time"])
	if err != nil {
		return err
	}
	now := time.Duration(written.UnixNano())
	if departureMessages[attributes["msg"]] {
		for _, id := range strings.Fields(strings.Trim(attributes["backends"], "[]")) {
			l.Departures = append(l.Departures, Departure{At: now, Engine: id})
		}
		return nil
	}
	if attributes[AttemptsKey] == "" || attributes[PartsKey] == "" {
		return nil
	}
	parts, err := parseParts(attributes[PartsKey])
	if err != nil {
		return err
	}
	attempts, err := parseAttempts(now, attributes[AttemptsKey], parts)
	l.Attempts = append(l.Attempts, attempts...)
	return err
}

// parseLine returns the attributes of a line of log/slog's text or JSON handler. A text in front of
// the line is ignored. It returns nil if the line is neither.
func parseLine(line string) map[string]string {
	if start := strings.Index(line, `{"time":`); start >= 0 {
		return parseJSON(line[start:])
	}
	if start := strings.Index(line, "time="); start >= 0 {
		return parseText(line[start:])
	}
	return nil
}

func parseJSON(line string) map[string]string {
	var values map[string]any
	if json.Unmarshal([]byte(line), &values) != nil {
		return nil
	}
	out := make(map[string]string, len(values))
	for key, value := range values {
		out[key] = fmt.Sprint(value)
	}
	return out
}

func parseText(line string) map[string]string {
	out := map[string]string{}
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			return out
		}
		if !strings.HasPrefix(rest, `"`) {
			out[key], line, _ = strings.Cut(rest, " ")
			continue
		}
		quoted, err := strconv.QuotedPrefix(rest)
		if err != nil {
			return out
		}
		// The prefix has been checked.
		out[key], _ = strconv.Unquote(quoted)
		line = rest[len(quoted):]
	}
	return out
}
