package ledger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
)

const (
	nonceBytes = 12
	macBytes   = 16
	// maxIDTextBytes is the maximum length of an ID's text, checked before decoding.
	maxIDTextBytes = 256
	macLabel       = "mangomast request id"
)

var (
	// ErrMalformed means that the text is not a request ID.
	ErrMalformed = errors.New("not a request id of this service")
	// ErrWrongScope means that the signature does not match the scope: the ID
	// was altered, or minted for another organisation or route, or by another
	// fleet.
	ErrWrongScope = errors.New("the request id was minted for another organisation or route")
)

// ID is a decoded request ID.
type ID struct {
	_     struct{} `cbor:",toarray"`
	Nonce []byte
	// VM and Incarnation are the pin: the node incarnation that may run the
	// request.
	VM          string
	Incarnation uint64
	// MintedMillis is the wall clock of the node that minted the ID, in
	// milliseconds since 1970.
	MintedMillis int64
}

// Pin returns the node incarnation that may run the request.
func (id ID) Pin() call.Pin { return call.Pin{VM: id.VM, Incarnation: id.Incarnation} }

// Minted returns when the ID was minted.
func (id ID) Minted() time.Time { return time.UnixMilli(id.MintedMillis) }

// Scope is the organisation and route that an ID is valid for. It is covered by
// the signature but not contained in the ID.
type Scope struct {
	Organisation string
	Route        string
}

// Signer mints and verifies the text of request IDs. It is safe for
// concurrent use.
type Signer struct {
	secret []byte
}

// NewSigner returns a signer that uses the secret shared by the fleet.
func NewSigner(secret string) *Signer { return &Signer{secret: []byte(secret)} }

// NewNonce returns the random part of an ID.
func NewNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// Mint returns the text of an ID for a request that only the pinned node
// incarnation may run.
func (s *Signer) Mint(scope Scope, pin call.Pin, nonce []byte, now time.Time) (string, error) {
	id := ID{Nonce: nonce, VM: pin.VM, Incarnation: pin.Incarnation, MintedMillis: now.UnixMilli()}
	payload, err := cbor.Marshal(id)
	if err != nil {
		return "", errors.Wrap(err, "encode request id")
	}
	signed := append(s.mac(scope, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(signed), nil
}

// Verify decodes an ID and checks its signature for the scope. The error is
// ErrMalformed or ErrWrongScope.
func (s *Signer) Verify(scope Scope, text string) (ID, error) {
	mac, payload, err := splitMAC(text)
	if err != nil {
		return ID{}, err
	}
	if !hmac.Equal(mac, s.mac(scope, payload)) {
		return ID{}, ErrWrongScope
	}
	return decodeID(payload)
}

// ParseID decodes an ID without checking its signature, which the sending node
// has verified.
func ParseID(text string) (ID, error) {
	_, payload, err := splitMAC(text)
	if err != nil {
		return ID{}, err
	}
	return decodeID(payload)
}

func splitMAC(text string) (mac, payload []byte, err error) {
	if len(text) > maxIDTextBytes {
		return nil, nil, ErrMalformed
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) <= macBytes {
		return nil, nil, ErrMalformed
	}
	return raw[:macBytes], raw[macBytes:], nil
}

func decodeID(payload []byte) (ID, error) {
	var id ID
	if err := cbor.Unmarshal(payload, &id); err != nil || id.VM == "" {
		return ID{}, ErrMalformed
	}
	return id, nil
}

// mac prefixes each part of the scope with its length, so that different scopes
// never hash the same bytes.
func (s *Signer) mac(scope Scope, payload []byte) []byte {
	hash := hmac.New(sha256.New, s.secret)
	for _, part := range []string{macLabel, scope.Organisation, scope.Route} {
		_, _ = hash.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		_, _ = hash.Write([]byte(part))
	}
	_, _ = hash.Write(payload)
	return hash.Sum(nil)[:macBytes]
}
