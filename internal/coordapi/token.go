package coordapi

import (
	"strconv"
	"strings"
)

// LeaderToken names a state of what only the leader knows. It changes with each change
// of that, and no two leaderships share one. A router that follows nobody has the empty
// one.
type LeaderToken string

// NewLeaderToken returns the token of a leadership after a number of changes.
func NewLeaderToken(leadership string, changes int) LeaderToken {
	return LeaderToken(leadership + "-" + strconv.Itoa(changes))
}

// Leadership returns the leadership that a token belongs to.
func (t LeaderToken) Leadership() string {
	leadership, _, _ := strings.Cut(string(t), "-")
	return leadership
}
