package pushback

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// headerRetryAfter is how long a caller is asked to stay away, in seconds (fractions too)
// or as a date; RFC 9110, section 10.2.3.
const headerRetryAfter = "Retry-After"

// longestWait bounds what one answer may ask for. A back end that wants nothing for longer
// than it would take to replace it drains; a slip of units must not take it out for days.
const longestWait = 10 * time.Minute

// retryAfter reads how long an answer asks to be left alone; 0 when it doesn't. Of
// several values the longest holds. The error names the first that can't be read, and
// the wait is that of the others.
func retryAfter(header http.Header) (wait time.Duration, err error) {
	for _, value := range header[headerRetryAfter] {
		one, failure := parseWait(strings.TrimSpace(value), header.Get("Date"))
		if failure != nil && err == nil {
			err = failure
		}
		wait = max(wait, one)
	}
	return wait, err
}

func parseWait(text, sent string) (time.Duration, error) {
	if text == "" {
		return 0, errors.New("Retry-After is empty")
	}
	if strings.Trim(text, "0123456789.") != "" {
		return waitUntil(text, sent)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("Retry-After %.32q is no number of seconds", text)
	}
	if seconds >= longestWait.Seconds() {
		return longestWait, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// waitUntil reads a date. It counts from the answer's own date: the back end's time of
// day may be another than this machine's.
func waitUntil(text, sent string) (time.Duration, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, fmt.Errorf("Retry-After %.32q is neither seconds nor a date", text)
	}
	from, err := http.ParseTime(sent)
	if err != nil {
		return 0, fmt.Errorf("Retry-After is a date in an answer without one of its own")
	}
	return min(max(until.Sub(from), 0), longestWait), nil
}
