package config

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// OwnersKey is the store key of the owner table, after the store's prefix.
const OwnersKey = "config/owners"

// Owner is the node incarnation that grants an organisation's rate and burst.
type Owner struct {
	Organisation string `json:"organisation" cbor:"1,keyasint"`
	VM           string `json:"vm" cbor:"2,keyasint"`
	Incarnation  uint64 `json:"incarnation" cbor:"3,keyasint"`
	// Term increases with each change of the organisation's owner.
	Term uint64 `json:"term" cbor:"4,keyasint"`
	// Address is the node's mesh address. It is included because most nodes do
	// not know every VM.
	Address string `json:"address" cbor:"5,keyasint"`
}

// OwnerTable lists one owner for each organisation. It is stored next to the
// document and distributed by the same stream.
type OwnerTable struct {
	// Revision is the store revision of the table.
	Revision int64   `json:"-" cbor:"1,keyasint"`
	Owners   []Owner `json:"owners" cbor:"2,keyasint"`
}

// ParseOwners decodes the stored value of the owner table.
func ParseOwners(value []byte, revision int64) (*OwnerTable, error) {
	table := &OwnerTable{}
	if err := json.Unmarshal(value, table); err != nil {
		return nil, errors.Wrap(err, "decode owner table")
	}
	table.Revision = revision
	return table, nil
}

// Owner returns the owner of an organisation; ok is false if it has none.
func (t *OwnerTable) Owner(organisation string) (owner Owner, ok bool) {
	if t == nil {
		return Owner{}, false
	}
	for _, o := range t.Owners {
		if o.Organisation == organisation {
			return o, true
		}
	}
	return Owner{}, false
}

// StreamRevision returns the revision of the table, or 0 if the table is nil.
func (t *OwnerTable) StreamRevision() int64 {
	if t == nil {
		return 0
	}
	return t.Revision
}

// Owned reports whether every organisation of the document has an owner.
func (s *Snapshot) Owned() bool {
	for _, org := range s.Document.Organisations {
		if _, ok := s.Owners.Owner(org.ID); !ok {
			return false
		}
	}
	return true
}
