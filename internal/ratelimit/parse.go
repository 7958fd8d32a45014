package ratelimit

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// PerSecond is a rate of requests a second.
type PerSecond float64

// maxRate is the greatest rate; greater ones are reduced to it, which keeps sums of rates
// finite.
const maxRate PerSecond = 1e6

// minBrittle is the lowest rate of rejections that counts: at 0 a back end fails with the first one.
const minBrittle PerSecond = 0.1

// parseBrittle reads the rate of rejections above which a back end fails, 0 if the header names none.
func parseBrittle(header http.Header, name string) (PerSecond, error) {
	if name == "" {
		return 0, nil
	}
	rate, named, err := parseRate(header, name)
	if err != nil || !named {
		return 0, err
	}
	return max(rate, minBrittle), nil
}

// parseRate reads the limit in a header; limited is false if there is none. A value that cannot
// be parsed is an error, and neither sets nor ends a limit.
func parseRate(header http.Header, name string) (rate PerSecond, limited bool, err error) {
	values := header[http.CanonicalHeaderKey(name)]
	switch len(values) {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, false, fmt.Errorf("%s occurs %d times", name, len(values))
	}
	text := strings.TrimSpace(values[0])
	if text == "" {
		return 0, false, errors.Newf("%s is empty", name)
	}
	// Only digits and a point: ParseFloat would also accept signs, exponents, NaN and Inf.
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false, errors.Newf("%s %.32q is not a decimal number", name, text)
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false, errors.Newf("%s %.32q is not a decimal number", name, text)
	}
	return min(PerSecond(number), maxRate), true, nil
}
