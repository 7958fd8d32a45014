package dispatch

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Token says where an answer stands. Callers get it as the id of each event
// and bring the last one back as Last-Event-ID. It is opaque to them and gives
// no rights: the engine checks the tenant.
type Token struct {
	Engine      string `json:"e"`
	Incarnation string `json:"i"`
	Request     string `json:"r"`
	// Next is the index of the next token of the answer.
	Next int `json:"n"`
}

// maxTokenLength bounds what is decoded.
const maxTokenLength = 1024

// ErrInvalidToken is returned for an event ID that no router made.
var ErrInvalidToken = errors.New("Last-Event-ID is not an id of this service")

// String returns the token's text form.
func (t Token) String() string {
	text, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(text)
}

// ParseToken reads a token's text form.
func ParseToken(text string) (Token, error) {
	var t Token
	if len(text) > maxTokenLength {
		return t, ErrInvalidToken
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || json.Unmarshal(data, &t) != nil {
		return t, ErrInvalidToken
	}
	if t.Engine == "" || t.Request == "" || t.Next < 0 {
		return t, ErrInvalidToken
	}
	return t, nil
}
