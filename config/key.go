package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"
)

const (
	// KeyPrefix is the prefix of each generated key.
	KeyPrefix = "mm_"
	keyBytes  = 20
)

// NewKey returns a key with 160 random bits. The key is shown once and never
// stored.
func NewKey() string {
	var raw [keyBytes]byte
	_, _ = rand.Read(raw[:])
	return KeyPrefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(raw[:]))
}

// HashKey returns the hash that is stored in place of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
