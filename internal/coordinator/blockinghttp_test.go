package coordinator

import (
	"encoding/json"
	"testing"

	"quinceridge.example/quinceridge/internal/poison"
)

// An operator's block is refused with a reason, or names a request or an ordered set of parts.
func FuzzOperatorBlock(f *testing.F) {
	for _, seed := range []string{`{"parts":["a","b","a"]}`, `{"parts":["a"],"tenant":"t"}`, `{"request":"9f2c41d07be2a35f"}`, `{"parts":[""]}`, `{"request":"0"}`, `{}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var wanted operatorBlock
		if json.Unmarshal(text, &wanted) != nil {
			return
		}
		block, err := wanted.block()
		if err != nil {
			return
		}
		if block.Request == 0 || len(block.Parts) > poison.MaxParts {
			t.Fatalf("%s: %+v", text, block)
		}
		for i := 1; i < len(block.Parts); i++ {
			if block.Parts[i-1] >= block.Parts[i] {
				t.Fatalf("%s: the parts are not in order: %v", text, block.Parts)
			}
		}
		if len(block.Parts) > 0 && block.Request != poison.SetDigest(block.Parts) {
			t.Fatalf("%s: %+v", text, block)
		}
	})
}
