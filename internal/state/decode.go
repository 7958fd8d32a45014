package state

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// ErrUnsupportedCommand is returned for a command that this build does not support. Skipping
// it would make this replica diverge, so the replica stops before the entry until it runs a
// build that supports the command.
var ErrUnsupportedCommand = errors.New("command is not supported by this build")

// decodeCommand decodes the command of a log entry. An empty entry gives an empty command.
func decodeCommand(text []byte) (*Command, error) {
	c := &Command{}
	if len(text) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, err
	}
	if c.hasOperation() {
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

// hasOperation reports whether any operation field is set.
func (c *Command) hasOperation() bool {
	empty := Command{RequestID: c.RequestID, At: c.At}
	return *c != empty
}
