package operator

import (
	"context"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
)

// Service implements the operations that the API and the console share. It is
// safe for concurrent use.
type Service struct {
	Editor          *edit.Editor
	staticOperators []config.Operator
	config          config.Source
	streamProgress  config.Progress
	fleet           membership.Directory
	// quarantine lists and lifts the records of requests that crash upstreams.
	quarantine *quarantineplugin.Module
	log        log.Interface
}

// Authenticate returns the operator whose token has the hash, from the settings
// or from the current document.
func (s *Service) Authenticate(hash string) (config.Operator, bool) {
	if o, ok := operator.Authenticate(s.staticOperators, hash); ok {
		return o, true
	}
	if snapshot := s.config.Snapshot(); snapshot != nil {
		return operator.Authenticate(snapshot.Document.Operators, hash)
	}
	return config.Operator{}, false
}

// Progress returns on how many VMs a revision is in force. It blocks until the
// relays have listed the fleet or ctx is done.
func (s *Service) Progress(ctx context.Context, revision int64) (operator.Progress, error) {
	_, progress, err := s.Overview(ctx, revision)
	return progress, err
}

// memberProgress returns on how many members a revision is in force. Members
// that have stopped or expired are not counted.
func (s *Service) memberProgress(members []membership.Entry, revision int64) operator.Progress {
	p := operator.Progress{Revision: revision, Accepted: s.config.Accepted() >= revision}
	for _, entry := range members {
		if entry.State == membership.Gone {
			continue
		}
		p.Total++
		if entry.ConfigRevision >= revision {
			p.InForce++
			continue
		}
		p.Waiting = append(p.Waiting, entry.VM)
	}
	p.Accepted = p.Accepted && len(p.Waiting) == 0
	return p
}

// Overview returns the membership entries of the fleet, and on how many VMs a
// revision is in force.
func (s *Service) Overview(ctx context.Context, revision int64) ([]membership.Entry, operator.Progress, error) {
	members, err := s.fleet.Members(ctx)
	if err != nil {
		return nil, operator.Progress{}, errors.Wrap(err, "list the fleet's VMs")
	}
	p := s.memberProgress(members, revision)
	if p.Accepted {
		return members, p, nil
	}
	if reasons, err := s.streamProgress.WaitsFor(ctx, revision); err == nil {
		p.Waiting = append(p.Waiting, reasons...)
	}
	return members, p, nil
}

// GrantKey generates a key, commits its hash and returns the key together with
// the change.
func (s *Service) GrantKey(ctx context.Context, author string, r operator.KeyRequest) (*operator.KeyResponse, error) {
	key := config.NewKey()
	proposal, err := r.Proposal(author, key)
	if err != nil {
		return nil, err
	}
	change, err := s.Editor.Commit(ctx, proposal)
	if err != nil {
		return nil, err
	}
	return &operator.KeyResponse{Key: key, Change: *change}, nil
}

// WithdrawKey removes a key. A non-empty change ID makes the call idempotent.
func (s *Service) WithdrawKey(ctx context.Context, author, id, changeID string) (*edit.Change, error) {
	current, err := s.Editor.Read(ctx)
	if err != nil {
		return nil, err
	}
	field := "/keys/" + id
	old, err := edit.Value(current.Document, field)
	if err != nil {
		return nil, err
	}
	if old == nil {
		if earlier, err := s.Editor.FindChange(ctx, changeID, current); earlier != nil || err != nil {
			return earlier, err
		}
		return nil, errors.Errorf("there is no key %q; 'mangomast show' lists the keys", id)
	}
	removal := edit.Edit{Field: field, Old: old}
	proposal := edit.Proposal{ID: changeID, Author: author, Note: "withdraw key " + id, Edits: []edit.Edit{removal}}
	return s.Editor.Commit(ctx, proposal)
}
