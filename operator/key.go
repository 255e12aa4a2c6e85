package operator

import (
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
)

// ParamChangeID is the query parameter of DELETE PathKeys/ID with the ID of the
// change, which makes the request idempotent.
const ParamChangeID = "change"

// KeyRequest is the body of POST PathKeys, which creates a key.
type KeyRequest struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Note         string `json:"note,omitempty"`
}

// KeyResponse is the response to a KeyRequest. It is the only one that contains
// the key.
type KeyResponse struct {
	Key    string      `json:"key"`
	Change edit.Change `json:"change"`
}

// Proposal returns the change that adds the key.
func (r KeyRequest) Proposal(author, key string) (edit.Proposal, error) {
	added, err := r.edit(key)
	return edit.Proposal{Author: author, Note: r.note(), Edits: []edit.Edit{added}}, err
}

func (r KeyRequest) edit(key string) (edit.Edit, error) {
	return edit.NewAddition("keys", r.ID, config.Key{
		ID: r.ID, Organisation: r.Organisation, Hash: config.HashKey(key), Note: r.Note,
	})
}

// note returns the note of the change in the history.
func (r KeyRequest) note() string { return "grant key " + r.ID }
