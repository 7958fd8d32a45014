package dispatch

import (
	"encoding/base64"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Token identifies a position in an answer. Callers receive one as the ID of each event and send the
// last one as Last-Event-ID to resume. It is opaque to them and grants no access, since the engine
// checks the tenant.
type Token struct {
	// Engine is the ID of the engine that runs the request.
	Engine      string `json:"e"`
	Incarnation string `json:"i"`
	Request     string `json:"r"`
	// Next is the index of the next event of the answer.
	Next int `json:"n"`
}

// maxTokenLength is the maximum length of an encoded token in bytes.
const maxTokenLength = 1024

// ErrInvalidToken is returned for text that is not an encoded token.
var ErrInvalidToken = errors.New("Last-Event-ID is not an id of this service")

// String returns the encoded token.
func (t Token) String() string {
	text, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(text)
}

// ParseToken decodes a token. It returns ErrInvalidToken if text is not valid.
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
