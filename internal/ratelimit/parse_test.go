package ratelimit

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseRate(t *testing.T) {
	const name = "Engine-Limit"
	cases := map[string]struct {
		values  []string
		rate    PerSecond
		limited bool
		bad     bool
	}{
		"none":            {nil, 0, false, false},
		"a whole number":  {[]string{"3"}, 3, true, false},
		"a fraction":      {[]string{"0.25"}, 0.25, true, false},
		"blanks around":   {[]string{" 1.3 "}, 1.3, true, false},
		"zero":            {[]string{"0"}, 0, true, false},
		"without a digit": {[]string{".5"}, 0.5, true, false},
		"huge":            {[]string{strings.Repeat("9", 400)}, maxRate, true, false},
		"negative":        {[]string{"-1"}, 0, false, true},
		"not a number":    {[]string{"NaN"}, 0, false, true},
		"infinite":        {[]string{"Inf"}, 0, false, true},
		"an exponent":     {[]string{"1e300"}, 0, false, true},
		"hexadecimal":     {[]string{"0x1"}, 0, false, true},
		"empty":           {[]string{""}, 0, false, true},
		"only blanks":     {[]string{"  "}, 0, false, true},
		"a blank within":  {[]string{"1 2"}, 0, false, true},
		"a comma":         {[]string{"1,5"}, 0, false, true},
		"a list":          {[]string{"1, 2"}, 0, false, true},
		"two headers":     {[]string{"1", "2"}, 0, false, true},
		"two points":      {[]string{"1.2.3"}, 0, false, true},
		"a point":         {[]string{"."}, 0, false, true},
		"a word":          {[]string{"few"}, 0, false, true},
	}
	for label, c := range cases {
		t.Run(label, func(t *testing.T) {
			header := http.Header{}
			if c.values != nil {
				header[name] = c.values
			}
			rate, limited, err := parseRate(header, name)
			assert.Equal(t, rate, c.rate)
			assert.Equal(t, limited, c.limited)
			assert.Equal(t, err != nil, c.bad, "%v", err)
		})
	}
}

func FuzzParseRate(f *testing.F) {
	for _, seed := range []string{"1", "0.4", "-1", "NaN", "1e300", "", " 1", "1,2", strings.Repeat("9", 400)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, limited, err := parseRate(http.Header{"X": {text}}, "X")
		if err == nil && !(limited && rate >= 0 && rate <= maxRate) || err != nil && limited {
			t.Fatalf("%q: %v %v %v", text, rate, limited, err)
		}
	})
}
