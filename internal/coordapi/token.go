package coordapi

import (
	"strconv"
	"strings"
)

// LeaderToken identifies a state of the leader's Notes. It changes with them and is never shared
// by two leaderships. A router without a leader has the empty token.
type LeaderToken string

// NewLeaderToken returns the token for a leadership after a number of changes.
func NewLeaderToken(leadership string, changes int) LeaderToken {
	return LeaderToken(leadership + "-" + strconv.Itoa(changes))
}

// Leadership returns the leadership that the token belongs to.
func (t LeaderToken) Leadership() string {
	leadership, _, _ := strings.Cut(string(t), "-")
	return leadership
}
