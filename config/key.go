package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"
)

const (
	// KeyPrefix starts each generated key.
	KeyPrefix = "mm_"
	keyBytes  = 20
)

// NewKey returns a key with 160 random bits. It is shown once and never kept.
func NewKey() string {
	var raw [keyBytes]byte
	_, _ = rand.Read(raw[:])
	return KeyPrefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(raw[:]))
}

// HashKey returns the hash under which a key is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
