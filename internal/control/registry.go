package control

import (
	"encoding/hex"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"quinceridge.example/quinceridge/internal/state"
)

// RegistryDigest names a list of routers that is sorted by name.
func RegistryDigest(list []state.Router) string {
	text, err := json.Marshal(list)
	if err != nil {
		return ""
	}
	digest := xxhash.New()
	_, _ = digest.Write(text)
	return hex.EncodeToString(digest.Sum(nil))
}
