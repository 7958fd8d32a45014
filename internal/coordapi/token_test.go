package coordapi

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLeaderTokenReturnsLeadership(t *testing.T) {
	token := NewLeaderToken("k3", 12)
	assert.Equal(t, token, LeaderToken("k3-12"))
	assert.Equal(t, token.Leadership(), "k3")
	assert.Equal(t, LeaderToken("").Leadership(), "")
}
