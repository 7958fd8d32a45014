package pushback

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// headerRetryAfter holds a wait in seconds, which may have a fraction, or a date; RFC 9110,
// section 10.2.3.
const headerRetryAfter = "Retry-After"

// maxWait bounds the wait of one response, so that a mistaken unit does not exclude a back end
// for days.
const maxWait = 10 * time.Minute

// parseRetryAfter returns the longest wait of a response's Retry-After values, 0 for none. The
// error is that of the first invalid value; the others still count.
func parseRetryAfter(header http.Header) (wait time.Duration, err error) {
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
		return parseDate(text, sent)
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, fmt.Errorf("Retry-After %.32q is not a number of seconds", text)
	}
	if seconds >= maxWait.Seconds() {
		return maxWait, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseDate returns the wait until a date, from the response's own date: the back end's clock
// may differ from this machine's.
func parseDate(text, sent string) (time.Duration, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, fmt.Errorf("Retry-After %.32q is neither seconds nor a date", text)
	}
	from, err := http.ParseTime(sent)
	if err != nil {
		return 0, fmt.Errorf("Retry-After is a date, but the response has no Date header")
	}
	return min(max(until.Sub(from), 0), maxWait), nil
}
