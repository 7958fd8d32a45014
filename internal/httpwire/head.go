package httpwire

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

const (
	// minStatus and maxStatus bound the statuses of RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// versionPrefix begins a status line, before the minor version.
	versionPrefix = "HTTP/1."
	// statusLineSize is the length of the shortest status line.
	statusLineSize = len(versionPrefix) + len("1 200")
	// maxQuoted bounds the part of a line that an error quotes.
	maxQuoted = 64
)

var transferEncoding = []byte("transfer-encoding")

// section checks the lines of a head, or of a trailer section, as they arrive. It keeps no bytes and allocates nothing
// unless they are malformed.
type section struct {
	// trailers is set for a trailer section, which has no status line.
	trailers bool
	// checked is the number of bytes of complete lines.
	checked int
	status  int
	// minor is the minor version of the protocol, and encoded is set if the head names a transfer coding.
	minor   byte
	encoded bool
}

// check checks the lines that have arrived completely. Arrived begins with the first byte of the section, and only grows.
// Ended is set once the empty line has been checked, up to which the section takes s.checked bytes.
func (s *section) check(arrived []byte) (ended bool, err error) {
	for {
		size := bytes.IndexByte(arrived[s.checked:], '\n')
		if size < 0 {
			return false, nil
		}
		line := arrived[s.checked : s.checked+size]
		first := s.checked == 0 && !s.trailers
		s.checked += size + 1
		if size > 0 && line[size-1] == '\r' {
			line = line[:size-1]
		}
		switch {
		case first:
			err = s.checkStatusLine(line)
		case len(line) == 0:
			return true, s.checkFraming()
		default:
			err = s.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// checkStatusLine checks a status line (RFC 9112, section 4). The blank behind the status may be missing with the reason.
func (s *section) checkStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte(versionPrefix))
	if !ok || len(line) < statusLineSize || !isDigit(rest[0]) || rest[1] != ' ' {
		return malformed("status line", line)
	}
	s.minor = rest[0] - '0'
	for _, c := range rest[2:5] {
		if !isDigit(c) {
			return malformed("status", line)
		}
		s.status = 10*s.status + int(c-'0')
	}
	reason := rest[5:]
	switch {
	case s.status < minStatus || s.status > maxStatus:
		return malformed("status", line)
	case len(reason) > 0 && reason[0] != ' ', !isText(reason):
		return malformed("reason", line)
	}
	return nil
}

// checkField checks a field line (RFC 9112, section 5.1). A line that continues the field before is obsolete and not
// accepted.
func (s *section) checkField(line []byte) error {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 {
		return malformed("field line", line)
	}
	name := line[:colon]
	if !isName(name) {
		return malformed("field name", line)
	}
	if !isText(line[colon+1:]) {
		return malformed("field value", line)
	}
	s.encoded = s.encoded || len(name) == len(transferEncoding) && bytes.EqualFold(name, transferEncoding)
	return nil
}

// checkFraming checks what only the whole head tells.
func (s *section) checkFraming() error {
	switch {
	case s.status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: the protocol is switched unasked", ErrMalformed)
	case s.encoded && s.minor == 0:
		// RFC 9112, section 6.1: the framing is faulty.
		return fmt.Errorf("%w: HTTP/1.0 has no transfer codings", ErrMalformed)
	}
	return nil
}

// isInformational reports whether the head is that of an interim response, behind which another one follows.
func (s *section) isInformational() bool { return s.status < http.StatusOK }

func malformed(what string, line []byte) error {
	return fmt.Errorf("%w: %s in %q", ErrMalformed, what, line[:min(len(line), maxQuoted)])
}

// isName reports whether text is a field name.
func isName(text []byte) bool {
	for _, c := range text {
		if !isToken[c] {
			return false
		}
	}
	return len(text) > 0
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken holds the characters of a field name (RFC 9110, section 5.6.2).
var isToken = func() (set [256]bool) {
	for c := range set {
		set[c] = c > ' ' && c < 0x7f && !strings.ContainsRune(`"(),/:;<=>?@[\]{}`, rune(c))
	}
	return set
}()

// isText reports whether text has no control characters but tabs. Other bytes over 0x7f are allowed.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
