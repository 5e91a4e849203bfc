package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash returns the name of an object: the hex SHA-256 of its content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// CheckObject returns an error if data does not have the given hash or exceeds
// MaxObjectSize.
func CheckObject(hash string, data []byte) error {
	if len(data) > MaxObjectSize {
		return fmt.Errorf("object %s: %d bytes, at most %d are allowed", hash, len(data), MaxObjectSize)
	}
	if got := Hash(data); got != hash {
		return fmt.Errorf("object %s: content has hash %s", hash, got)
	}
	return nil
}

// CheckHash returns an error if hash is not a hex SHA-256.
func CheckHash(hash string) error {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("object %q: the name is not a hex SHA-256", hash)
	}
	return nil
}
