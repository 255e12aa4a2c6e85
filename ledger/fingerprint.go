package ledger

import (
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/call"
)

// Fingerprint is a hash of a request's contents and organisation. It detects
// that an ID is reused for a different request.
type Fingerprint [16]byte

// FingerprintOf hashes the organisation, route, method, target and body.
func FingerprintOf(head *call.Head, body []byte) Fingerprint {
	hash := xxh3.New()
	for _, part := range []string{head.Organisation, head.Route, head.Method, head.Target} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(part)
	}
	_, _ = hash.Write(body)
	return hash.Sum128().Bytes()
}
