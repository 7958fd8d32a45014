package ratelimit

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// PerSecond is a rate of requests.
type PerSecond float64

// highest is what a higher rate counts as: no back end is sent as much, and sums of rates
// stay numbers.
const highest PerSecond = 1e6

// rateOf reads the limit that an answer names in a header; limited is false when it names
// none. What cannot be read says nothing: neither that there is a limit, nor that there is
// none any more.
func rateOf(header http.Header, name string) (rate PerSecond, limited bool, err error) {
	values := header[http.CanonicalHeaderKey(name)]
	switch len(values) {
	case 0:
		return 0, false, nil
	case 1:
	default:
		return 0, false, fmt.Errorf("%s is there %d times", name, len(values))
	}
	text := strings.TrimSpace(values[0])
	if text == "" {
		return 0, false, errors.Newf("%s is empty", name)
	}
	// Digits and a point alone: names of numbers, signs, exponents and lists are no rate.
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false, errors.Newf("%s %.32q is no decimal number", name, text)
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false, errors.Newf("%s %.32q is no decimal number", name, text)
	}
	return min(PerSecond(number), highest), true, nil
}
