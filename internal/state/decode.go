package state

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrUnsupportedCommand marks a command that this build does not know. Passing it over would make
// this replica differ from those that know it; it stops before the entry instead, and
// goes on with a build that does.
var ErrUnsupportedCommand = errors.New("the command is of a later build")

// decodeCommand reads an entry's command, an empty one as none.
func decodeCommand(text []byte) (*Command, error) {
	c := &Command{}
	if len(text) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, err
	}
	if c.named() {
		return c, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	delete(fields, "request_id")
	delete(fields, "at")
	for name := range fields {
		return nil, errors.Wrapf(ErrUnsupportedCommand, "%.64q", name)
	}
	return c, nil
}

// named tells whether a command names an operation that this build knows.
func (c *Command) named() bool {
	empty := Command{RequestID: c.RequestID, At: c.At}
	return *c != empty
}
