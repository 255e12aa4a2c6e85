package operator

import (
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
)

// ParamChange is the query parameter of DELETE PathKeys/ID that makes the
// request safe to send twice.
const ParamChange = "change"

// KeyRequest asks for a new key by POST to PathKeys.
type KeyRequest struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	Note         string `json:"note,omitempty"`
}

// KeyAnswer shows a new key, this once only.
type KeyAnswer struct {
	Key    string      `json:"key"`
	Change edit.Change `json:"change"`
}

// Proposal returns the change that adds the key.
func (r KeyRequest) Proposal(author, key string) (edit.Proposal, error) {
	added, err := r.edit(key)
	return edit.Proposal{Author: author, Note: r.note(), Edits: []edit.Edit{added}}, err
}

func (r KeyRequest) edit(key string) (edit.Edit, error) {
	return edit.NewElement("keys", r.ID, config.Key{
		ID: r.ID, Organisation: r.Organisation, Hash: config.HashKey(key), Note: r.Note,
	})
}

// note is what the history says of the change.
func (r KeyRequest) note() string { return "grant key " + r.ID }
