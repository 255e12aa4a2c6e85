package edit

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/store"
	"github.com/mangomast/mangomast/store/etcd"
)

func newEditor(t *testing.T) (*Editor, *standin.Store) {
	t.Helper()
	backend := standin.NewStore()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	client := etcd.New(etcd.Options{Endpoints: []string{server.URL}})
	return NewEditor(client, "/mm/", clockwork.NewRealClock()), backend
}

func commit(t *testing.T, e *Editor, edits ...Edit) *Change {
	t.Helper()
	change, err := e.Commit(t.Context(), Proposal{Author: "test", Edits: edits})
	assert.NilError(t, err)
	return change
}

func raw(text string) json.RawMessage { return json.RawMessage(text) }

func addOrganisation(id string) Edit {
	return Edit{Field: "/organisations/" + id, New: raw(`{"weight": 1, "rate": 5, "burst": 10}`)}
}

func TestEditsOfDifferentFieldsAreRebased(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")})
	commit(t, e, Edit{Field: "/organisations/beach/burst", Old: raw("10"), New: raw("20")})
	current, err := e.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, current.Document.Organisations[0].Rate, 6.0)
	assert.Equal(t, current.Document.Organisations[0].Burst, 20.0)
}

func TestEditsOfTheSameFieldConflict(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")})
	_, err := e.Commit(t.Context(), Proposal{Edits: []Edit{{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("7")}}})
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Conflicts[0].Theirs), "6")
}

func TestInvalidEditNamesFieldByID(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	_, err := e.Commit(t.Context(), Proposal{Edits: []Edit{
		{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("-1")},
		{Field: "/organisations/beach/burst", Old: raw("10"), New: raw(`"x"`)},
	}})
	var invalid *finding.Error
	assert.Assert(t, errors.As(err, &invalid))
	assert.ErrorContains(t, err, "/organisations/beach/burst: expected a number, found a string")
}

func TestUndoIsANewChange(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	change := commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")})
	undone, err := e.Undo(t.Context(), change.Number, Proposal{Author: "test"})
	assert.NilError(t, err)
	assert.Equal(t, undone.Number, change.Number+1)
	current, err := e.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, current.Document.Organisations[0].Rate, 5.0)
	history, err := e.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 3)
}

func TestMergeOfStaleDocumentKeepsOtherChanges(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	opened, err := e.Read(t.Context())
	assert.NilError(t, err)
	commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")})
	edited := opened.Document
	edited.Organisations[0].Burst = 99
	edits, err := e.Merge(t.Context(), edited)
	assert.NilError(t, err)
	assert.Equal(t, len(edits), 1)
	commit(t, e, edits...)
	current, err := e.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, current.Document.Organisations[0].Rate, 6.0)
	assert.Equal(t, current.Document.Organisations[0].Burst, 99.0)
}

// Guards against lost or duplicate changes: every second response to a write
// is lost while four operators commit concurrently, and each change must be
// committed exactly once.
func TestLostResponsesAreResolvedByReadingBack(t *testing.T) {
	const operators, changes = 4, 6
	e, backend := newEditor(t)
	backend.SetFaults(standin.Faults{DropAnswerEvery: 2})
	var group sync.WaitGroup
	for operator := range operators {
		group.Go(func() {
			for i := range changes {
				id := "org-" + strconv.Itoa(operator) + "-" + strconv.Itoa(i)
				_, err := e.Commit(context.Background(), Proposal{Edits: []Edit{addOrganisation(id)}})
				assert.Check(t, err)
			}
		})
	}
	group.Wait()
	current, err := e.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(current.Document.Organisations), operators*changes)
	assert.Equal(t, current.Document.Change.Number, uint64(operators*changes))
}

func TestDiffAndApplyAgree(t *testing.T) {
	from := &config.Document{Organisations: []config.Organisation{{ID: "a", Weight: 1, Burst: 1}, {ID: "b", Weight: 1, Burst: 1}}}
	to := &config.Document{Organisations: []config.Organisation{{ID: "b", Weight: 2, Burst: 1, Suspended: true}, {ID: "c", Weight: 1, Burst: 1}}}
	edits := Diff(from, to)
	got, err := Apply(from, edits)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Organisations, to.Organisations)
	reverted, err := Apply(got, Invert(edits))
	assert.NilError(t, err)
	remaining := Diff(reverted, from)
	assert.Equal(t, len(remaining), 0)
}

// The outage closes connections that are in use, so that the read before the
// write gets no response. Commit must not report an unknown outcome then, since
// nothing can have been written.
func TestOutageBeforeWriteReturnsUnavailable(t *testing.T) {
	e, backend := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	backend.SetFaults(standin.Faults{Outage: true})
	_, err := e.Commit(t.Context(), Proposal{Edits: []Edit{addOrganisation("other")}})
	assert.ErrorIs(t, err, store.ErrUnavailable)
	assert.Assert(t, !errors.Is(err, store.ErrOutcomeUnknown), err)
}

func TestUnchangedDocumentIsNotWritten(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	_, err := e.Commit(t.Context(), Proposal{Edits: []Edit{{Field: "/organisations/beach/rate", Old: raw("4"), New: raw("5")}}})
	assert.ErrorIs(t, err, ErrUnchanged)
	history, err := e.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
}

func TestOversizedValueIsRefused(t *testing.T) {
	e, _ := newEditor(t)
	edits := []Edit{addOrganisation("beach")}
	for _, id := range []string{"a", "b"} {
		key := `{"organisation": "beach", "hash": "` + config.HashKey(id) + `", "note": "` + strings.Repeat("x", MaxValueBytes/2) + `"}`
		edits = append(edits, Edit{Field: "/keys/" + id, New: raw(key)})
	}
	_, err := e.Commit(t.Context(), Proposal{Edits: edits})
	assert.ErrorContains(t, err, "make it in several smaller changes")
	current, err := e.Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, current.Revision, int64(0))
}

func TestDuplicateProposalIsCommittedOnce(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	change := commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")})
	first, err := e.Undo(t.Context(), change.Number, Proposal{ID: "undo-1", Author: "test"})
	assert.NilError(t, err)
	commit(t, e, Edit{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("7")})
	second, err := e.Undo(t.Context(), change.Number, Proposal{ID: "undo-1", Author: "test"})
	assert.NilError(t, err)
	assert.Equal(t, second.Number, first.Number)
}

func TestConflictNamesOtherAuthor(t *testing.T) {
	e, _ := newEditor(t)
	commit(t, e, addOrganisation("beach"))
	_, err := e.Commit(t.Context(), Proposal{Author: "day-shift", Note: "regatta", Edits: []Edit{
		{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")},
	}})
	assert.NilError(t, err)
	_, err = e.Commit(t.Context(), Proposal{Edits: []Edit{{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("7")}}})
	var conflict *ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.ErrorContains(t, err, `changed by day-shift`)
	assert.Equal(t, conflict.Conflicts[0].By.Note, "regatta")
	_, err = e.Commit(t.Context(), Proposal{Edits: []Edit{{Field: "/organisations/beach", New: raw(`{"weight": 2}`)}}})
	assert.ErrorContains(t, err, "exists already")
}

// The document of a large fleet exceeds the maximum size of a value in the
// store; it must still be possible to parse and edit it.
func TestApplyToLargeDocument(t *testing.T) {
	doc := &config.Document{Organisations: []config.Organisation{{ID: "beach", Weight: 1, Rate: 5, Burst: 1}}}
	for i := range 8000 {
		id := "key-" + strconv.Itoa(i)
		doc.Keys = append(doc.Keys, config.Key{ID: id, Organisation: "beach", Hash: config.HashKey(id)})
	}
	data, err := doc.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) > MaxValueBytes)
	changed, err := Apply(doc, []Edit{{Field: "/organisations/beach/rate", Old: raw("5"), New: raw("6")}})
	assert.NilError(t, err)
	assert.Equal(t, changed.Organisations[0].Rate, 6.0)
	_, err = config.Parse("doc.json", data)
	assert.NilError(t, err)
}
