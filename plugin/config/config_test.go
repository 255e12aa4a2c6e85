package config

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/revision"
	"github.com/mangomast/mangomast/store"
)

// fakeStore answers every listing with one record.
type fakeStore struct {
	store.Store
	record store.Record
}

func (f *fakeStore) ListRevisions(context.Context, string) (store.Listing, error) {
	return store.Listing{Records: []store.Record{f.record}, Revision: f.record.ModRevision}, nil
}

func (f *fakeStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	return f.ListRevisions(ctx, prefix)
}

func newModule(clock clockwork.Clock, held int64) (*Module, *fakeStore) {
	fake := &fakeStore{}
	m := &Module{
		Bound: jsonc.Duration(revision.DefaultBound), store: fake, clock: clock,
		log:    &log.Logger{Handler: discard.Default},
		prefix: "/p/",
		state:  revision.NewState([]revision.Value{{Name: documentName, Revision: held}}),
	}
	m.current.Store(config.NewSnapshot(&config.Document{}, held))
	return m, fake
}

func TestStoreThatAnswersAnOlderRevisionProvesNothing(t *testing.T) {
	m, fake := newModule(clockwork.NewFakeClock(), 9)
	fake.record = store.Record{Key: "/p/document", ModRevision: 8}
	assert.ErrorIs(t, m.read(t.Context()), errOlderRevision)
	assert.Equal(t, m.held(), int64(9))
	assert.Assert(t, !m.Fresh())
	fake.record.ModRevision = 9
	assert.NilError(t, m.read(t.Context()))
	assert.Assert(t, m.Fresh())
}

func TestServeWhenCutOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m, fake := newModule(clock, 9)
	fake.record = store.Record{Key: "/p/document", ModRevision: 9}
	assert.NilError(t, m.read(t.Context()))
	strict := &config.Organisation{ID: "strict"}
	lenient := &config.Organisation{ID: "lenient", ServeWhenCutOff: jsonc.Duration(time.Minute)}
	clock.Advance(revision.DefaultBound)
	assert.Assert(t, m.ServesOrganisation(strict))
	clock.Advance(time.Millisecond)
	assert.Assert(t, !m.Fresh() && !m.ServesOrganisation(strict))
	assert.Assert(t, m.ServesOrganisation(lenient))
	clock.Advance(time.Minute)
	assert.Assert(t, !m.ServesOrganisation(lenient))
}
