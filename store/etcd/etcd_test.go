package etcd_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/store"
	"github.com/mangomast/mangomast/store/etcd"
)

func newClient(t *testing.T) (*etcd.Client, *standin.Store) {
	t.Helper()
	backend := standin.NewStore()
	server := httptest.NewServer(backend)
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	return etcd.New(etcd.Options{Endpoints: []string{server.URL}}), backend
}

func TestCommitComparesRevisions(t *testing.T) {
	client, _ := newClient(t)
	ctx := t.Context()
	create := store.Txn{
		Compares: []store.Compare{{Key: "/a"}},
		Puts:     []store.Put{{Key: "/a", Value: []byte("1")}},
	}
	first, err := client.Commit(ctx, create)
	assert.NilError(t, err)
	assert.Assert(t, first.Succeeded)
	again, err := client.Commit(ctx, create)
	assert.NilError(t, err)
	assert.Assert(t, !again.Succeeded)
	listing, err := client.List(ctx, "/")
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Records), 1)
	assert.Equal(t, listing.Records[0].ModRevision, first.Revision)
}

func TestWatchStartsAtRevision(t *testing.T) {
	client, _ := newClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	first, err := client.Commit(ctx, store.Txn{Puts: []store.Put{{Key: "/a", Value: []byte("1")}}})
	assert.NilError(t, err)
	_, err = client.Commit(ctx, store.Txn{Deletes: []string{"/a"}})
	assert.NilError(t, err)
	var seen []store.Event
	err = client.Watch(ctx, "/", first.Revision, func() bool { return true }, func(b store.WatchBatch) {
		if seen = append(seen, b.Events...); len(seen) == 2 {
			cancel()
		}
	})
	assert.Assert(t, err != nil)
	assert.Equal(t, len(seen), 2)
	assert.Assert(t, seen[1].Deleted)
}

func TestLostResponseIsUnknownOutcome(t *testing.T) {
	client, backend := newClient(t)
	backend.SetFaults(standin.Faults{DropAnswerEvery: 1})
	_, err := client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "/a", Value: []byte("1")}}})
	assert.ErrorIs(t, err, store.ErrOutcomeUnknown)
	assert.DeepEqual(t, backend.Keys("/"), []string{"/a"})
}

func TestRevokeDeletesKeysOfLease(t *testing.T) {
	client, backend := newClient(t)
	id, err := client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, err = client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "/a", Lease: id}}})
	assert.NilError(t, err)
	remaining, err := client.KeepAlive(t.Context(), id)
	assert.NilError(t, err)
	assert.Equal(t, remaining, time.Minute)
	assert.NilError(t, client.Revoke(t.Context(), id))
	assert.Equal(t, len(backend.Keys("/")), 0)
}

func TestListRevisionsOmitsValues(t *testing.T) {
	client, _ := newClient(t)
	written, err := client.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "/a", Value: []byte("1")}, {Key: "/b"}}})
	assert.NilError(t, err)
	listing, err := client.ListRevisions(t.Context(), "/")
	assert.NilError(t, err)
	assert.Equal(t, len(listing.Records), 2)
	assert.Equal(t, listing.Records[0].ModRevision, written.Revision)
	assert.Equal(t, len(listing.Records[0].Value), 0)
}
