package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// signingContext prevents a signature over a bundle from being valid for other data.
const signingContext = "quinceridge bundle v1\x00"

// GenerateKey returns a new key pair for an operator, in hexadecimal.
func GenerateKey() (public, private string, err error) {
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", "", errors.Wrap(err, "generate key")
	}
	return hex.EncodeToString(pub), hex.EncodeToString(priv.Seed()), nil
}

// Sign signs a bundle digest with a hexadecimal private key. It returns the public key and the
// signature in hexadecimal.
func Sign(private, digest string) (public, signature string, err error) {
	seed, err := hex.DecodeString(private)
	if err != nil || len(seed) != ed25519.SeedSize {
		return "", "", errors.New("the private key is not 32 bytes in hex")
	}
	key := ed25519.NewKeyFromSeed(seed)
	signed := ed25519.Sign(key, []byte(signingContext+digest))
	return hex.EncodeToString(key.Public().(ed25519.PublicKey)), hex.EncodeToString(signed), nil
}

// Verify reports whether the signature over the digest was made with the key.
func Verify(public, digest, signature string) bool {
	key, err := hex.DecodeString(public)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return false
	}
	signed, err := hex.DecodeString(signature)
	if err != nil {
		return false
	}
	return ed25519.Verify(key, []byte(signingContext+digest), signed)
}
