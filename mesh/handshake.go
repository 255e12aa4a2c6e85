package mesh

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/settings"
)

const (
	protocolVersion    = 1
	nonceBytes         = 16
	handshakeTimeout   = 2 * time.Second
	handshakeMaxBytes  = 4 << 10
	helloMACLabel      = "mangomast hello"
	welcomeMACLabel    = "mangomast welcome"
	minimumSecretBytes = settings.MinSecretBytes
)

// Identity identifies a node.
type Identity struct {
	VM            string `cbor:"1,keyasint"`
	Incarnation   uint64 `cbor:"2,keyasint"`
	FailureDomain string `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint"`
}

func (i Identity) valid() bool {
	return settings.ValidName(i.VM) && settings.ValidName(i.FailureDomain) && settings.ValidName(i.Region)
}

// challenge is the acceptor's first message.
type challenge struct {
	Version int    `cbor:"1,keyasint"`
	Nonce   []byte `cbor:"2,keyasint"`
}

// hello is the dialer's answer to the challenge.
type hello struct {
	Identity Identity `cbor:"1,keyasint"`
	// Link is the ID that the connections of one link share; Class is the class
	// of this connection.
	Link  uint64 `cbor:"2,keyasint"`
	Class Class  `cbor:"3,keyasint"`
	Nonce []byte `cbor:"4,keyasint"`
	// MAC covers the acceptor's nonce and the fields above.
	MAC []byte `cbor:"5,keyasint"`
}

// welcome is the acceptor's answer to a valid hello.
type welcome struct {
	Identity Identity `cbor:"1,keyasint"`
	// MAC covers the dialer's nonce and the identity.
	MAC []byte `cbor:"2,keyasint"`
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

func (m *Mesh) mac(label string, nonce []byte, message any) ([]byte, error) {
	data, err := Encode(message)
	if err != nil {
		return nil, err
	}
	h := hmac.New(sha256.New, m.secret)
	h.Write([]byte(label))
	h.Write(nonce)
	h.Write(data)
	return h.Sum(nil), nil
}

// dialHandshake authenticates this node to the acceptor and verifies the
// acceptor's identity.
func (m *Mesh) dialHandshake(ctx context.Context, ws *websocket.Conn, link uint64, class Class) (Identity, error) {
	var c challenge
	if err := readMessage(ctx, ws, &c); err != nil {
		return Identity{}, err
	}
	if c.Version != protocolVersion {
		return Identity{}, errors.Errorf("peer uses protocol version %d, this node uses %d", c.Version, protocolVersion)
	}
	h := hello{Identity: m.self, Link: link, Class: class, Nonce: newNonce()}
	mac, err := m.mac(helloMACLabel, c.Nonce, h)
	if err != nil {
		return Identity{}, err
	}
	h.MAC = mac
	if err := writeMessage(ctx, ws, h); err != nil {
		return Identity{}, err
	}
	var w welcome
	if err := readMessage(ctx, ws, &w); err != nil {
		return Identity{}, errors.Wrap(err, "no welcome from peer")
	}
	want, err := m.mac(welcomeMACLabel, h.Nonce, w.Identity)
	if err != nil {
		return Identity{}, err
	}
	if !hmac.Equal(want, w.MAC) {
		return Identity{}, errors.New("welcome has an invalid MAC; the fleet secrets differ")
	}
	return w.Identity, nil
}

// acceptHandshake verifies the dialer's identity and authenticates this node to
// the dialer.
func (m *Mesh) acceptHandshake(ctx context.Context, ws *websocket.Conn) (hello, error) {
	c := challenge{Version: protocolVersion, Nonce: newNonce()}
	if err := writeMessage(ctx, ws, c); err != nil {
		return hello{}, err
	}
	var h hello
	if err := readMessage(ctx, ws, &h); err != nil {
		return hello{}, err
	}
	unsigned := h
	unsigned.MAC = nil
	want, err := m.mac(helloMACLabel, c.Nonce, unsigned)
	if err != nil {
		return hello{}, err
	}
	switch {
	case !hmac.Equal(want, h.MAC):
		return hello{}, errors.New("hello has an invalid MAC; the fleet secrets differ")
	case !h.Identity.valid():
		return hello{}, errors.Errorf("hello has an invalid identity %+v", h.Identity)
	case h.Class >= numClasses:
		return hello{}, errors.Errorf("hello has an unknown connection class %d", h.Class)
	}
	mac, err := m.mac(welcomeMACLabel, h.Nonce, m.self)
	if err != nil {
		return hello{}, err
	}
	return h, writeMessage(ctx, ws, welcome{Identity: m.self, MAC: mac})
}

func readMessage(ctx context.Context, ws *websocket.Conn, message any) error {
	kind, data, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "read handshake")
	}
	if kind != websocket.MessageBinary {
		return errors.New("handshake message is not binary")
	}
	return Decode(data, message)
}

func writeMessage(ctx context.Context, ws *websocket.Conn, message any) error {
	data, err := Encode(message)
	if err != nil {
		return err
	}
	return errors.Wrap(ws.Write(ctx, websocket.MessageBinary, data), "write handshake")
}
