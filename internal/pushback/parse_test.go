package pushback

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestParseRetryAfter(t *testing.T) {
	const date = "Thu, 03 Dec 2026 12:00:00 GMT"
	cases := map[string]struct {
		values []string
		wait   time.Duration
		bad    bool
	}{
		"none":               {nil, 0, false},
		"seconds":            {[]string{"3"}, 3 * time.Second, false},
		"fractions":          {[]string{" 2.25 "}, 2250 * time.Millisecond, false},
		"zero":               {[]string{"0"}, 0, false},
		"two values":         {[]string{"1", "4"}, 4 * time.Second, false},
		"one of two invalid": {[]string{"soon", "4"}, 4 * time.Second, true},
		"huge":               {[]string{"99999999999999999999999999"}, maxWait, false},
		"above the bound":    {[]string{"600.5"}, maxWait, false},
		"negative":           {[]string{"-5"}, 0, true},
		"not a number":       {[]string{"NaN"}, 0, true},
		"infinite":           {[]string{"Inf"}, 0, true},
		"hexadecimal":        {[]string{"0x10"}, 0, true},
		"exponent":           {[]string{"1e9"}, 0, true},
		"two points":         {[]string{"1.2.3"}, 0, true},
		"only a point":       {[]string{"."}, 0, true},
		"empty":              {[]string{""}, 0, true},
		"date":               {[]string{"Thu, 03 Dec 2026 12:00:07 GMT"}, 7 * time.Second, false},
		"past date":          {[]string{"Thu, 03 Dec 2026 11:00:00 GMT"}, 0, false},
		"distant date":       {[]string{"Thu, 03 Dec 2099 12:00:00 GMT"}, maxWait, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			wait, err := parseRetryAfter(http.Header{"Date": {date}, headerRetryAfter: c.values})
			assert.Equal(t, wait, c.wait)
			assert.Equal(t, err != nil, c.bad, "%v", err)
		})
	}
	_, err := parseRetryAfter(http.Header{headerRetryAfter: {date}})
	assert.ErrorContains(t, err, "no Date header")
}
