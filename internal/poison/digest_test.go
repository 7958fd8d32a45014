package poison

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func ExampleDigestOf() {
	first := DigestOf("shop", "POST", "a.example", "/chat/", []byte("hello"))
	again := DigestOf("shop", "POST", "a.example", "/chat/", []byte("hello"))
	other := DigestOf("bank", "POST", "a.example", "/chat/", []byte("hello"))
	fmt.Println(first == again, first == other)
	// Output: true false
}

func TestDigestCoversEachPart(t *testing.T) {
	digests := []Digest{
		DigestOf("t", "POST", "h", "/p", []byte("b")),
		DigestOf("u", "POST", "h", "/p", []byte("b")),
		DigestOf("t", "GET", "h", "/p", []byte("b")),
		DigestOf("t", "POST", "i", "/p", []byte("b")),
		DigestOf("t", "POST", "h", "/q", []byte("b")),
		DigestOf("t", "POST", "h", "/p?x", []byte("b")),
		DigestOf("t", "POST", "h", "/p", []byte("c")),
		// Parts with the same concatenation.
		DigestOf("tP", "OST", "h", "/p", []byte("b")),
		DigestOf("t", "POST", "h/", "p", []byte("b")),
		DigestOf("t", "POST", "h", "/pb", nil),
		DigestOf("t", "POST", "h", "/p", nil),
	}
	seen := map[Digest]int{}
	for i, d := range digests {
		other, taken := seen[d]
		assert.Assert(t, !taken, "%d and %d", i, other)
		assert.Equal(t, len(d.String()), 16)
		seen[d] = i
	}
}

// Sizes are those of short and long API calls and of a prompt of 50,000 tokens.
func BenchmarkDigestOf(b *testing.B) {
	for _, size := range []int{800, 4 << 10, 200 << 10} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				DigestOf("tenant", "POST", "host.example", "/path/to/service/", body)
			}
		})
	}
}
