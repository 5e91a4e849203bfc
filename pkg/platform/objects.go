package platform

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash returns the name of an object: the hex SHA-256 of its content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// CheckObject reports whether data is an object of the given hash and of an
// acceptable size.
func CheckObject(hash string, data []byte) error {
	if len(data) > MaxObjectSize {
		return fmt.Errorf("object %s: %d bytes, at most %d are allowed", hash, len(data), MaxObjectSize)
	}
	if got := Hash(data); got != hash {
		return fmt.Errorf("object %s: content has hash %s", hash, got)
	}
	return nil
}

// Objects returns the client's object store.
func (c *Client) Objects() ObjectStore { return objectClient{c} }

type objectClient struct{ c *Client }

// Put stores an object after a check of its hash.
func (o objectClient) Put(ctx context.Context, hash string, data []byte) error {
	if err := CheckObject(hash, data); err != nil {
		return err
	}
	_, err := o.c.do(ctx, request{
		what: "put object " + hash, limit: maxEmptyResponse,
		sling: o.c.base.New().Put("objects/" + hash).Body(bytes.NewReader(data)),
	})
	return err
}

// Get returns an object whose content has been checked against the hash.
func (o objectClient) Get(ctx context.Context, hash string) ([]byte, error) {
	if err := checkHash(hash); err != nil {
		return nil, err
	}
	body, err := o.c.do(ctx, request{
		what: "object " + hash, read: true, limit: MaxObjectSize,
		sling: o.c.base.New().Get("objects/" + hash),
	})
	if err != nil {
		return nil, err
	}
	if err := CheckObject(hash, body); err != nil {
		return nil, err
	}
	return body, nil
}

func checkHash(hash string) error {
	if b, err := hex.DecodeString(hash); err != nil || len(b) != sha256.Size {
		return fmt.Errorf("object %q: the name is not a hex SHA-256", hash)
	}
	return nil
}
