package quota

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	"github.com/mangomast/mangomast/quota"
	"github.com/mangomast/mangomast/store"
)

const (
	// membershipWarmup is how long a node must have been a relay before it writes, so
	// that it knows every member.
	membershipWarmup = time.Second
	// unseenOwnerGrace is how long a new relay keeps owners that it has never seen.
	unseenOwnerGrace = 10 * time.Second
	// checkInterval is the time between two checks of the table.
	checkInterval = 200 * time.Millisecond
	// rankDelay is how long a node waits for each node with a better rank.
	rankDelay = 400 * time.Millisecond
	// writeTimeout bounds a write. writePause follows it, so that the change has been
	// received before the next check.
	writeTimeout = 2 * time.Second
	writePause   = 1 * time.Second
)

// tableWriter assigns an owner to every organisation that has none in the owner table,
// or whose owner has left. Only relays do so, as only they know all members. If several
// of them write at once, compare-and-swap lets one succeed.
type tableWriter struct {
	*Module
	store  store.Store
	relays *membershipplugin.Module
	key    string
	// changeNeededSince is when a check first found that the table needs a change, or
	// zero if it needs none.
	changeNeededSince time.Time
	// writeDelay is how long the change must have been needed before it is written.
	writeDelay time.Duration
	// completeSince is when this node became a relay, or zero if it is none.
	completeSince time.Time
	seenOwners    quota.SeenOwners
}

func newTableWriter(m *Module, platform store.Store, relays *membershipplugin.Module, key string) *tableWriter {
	return &tableWriter{Module: m, store: platform, relays: relays, key: key}
}

func (w *tableWriter) run(ctx context.Context) error {
	pause := membershipWarmup
	for {
		if err := kernel.Sleep(ctx, w.clock, pause); err != nil {
			return err
		}
		pause = w.check(ctx)
	}
}

// check writes the table if it has needed a change for longer than the delay for
// this node's rank. It returns the time until the next check.
func (w *tableWriter) check(ctx context.Context) time.Duration {
	snapshot, view := w.config.Snapshot(), w.members.View()
	if snapshot == nil || !w.config.Fresh() || !w.hasFullView(view) {
		w.changeNeededSince = time.Time{}
		return checkInterval
	}
	candidates := candidatesOf(view)
	if unseen := w.seenOwners.Unseen(snapshot.Owners, candidates); w.clock.Since(w.completeSince) < unseenOwnerGrace {
		candidates = append(candidates, unseen...)
	}
	next, changed := quota.AssignOwners(snapshot.Owners, snapshot.Document.Organisations, candidates, storeRegion(snapshot.Document))
	if !changed {
		w.changeNeededSince = time.Time{}
		return checkInterval
	}
	now := w.clock.Now()
	if w.changeNeededSince.IsZero() {
		w.changeNeededSince = now
		w.writeDelay = time.Duration(w.rank(view))*rankDelay + rand.N(checkInterval)
	}
	if now.Sub(w.changeNeededSince) < w.writeDelay {
		return checkInterval / 4
	}
	w.changeNeededSince = time.Time{}
	if err := w.write(ctx, snapshot.Owners, next); err != nil {
		w.log.WithError(err).Warn("cannot write the owner table; retrying")
	}
	return writePause + time.Duration(rand.Float64()*float64(writePause))
}

// hasFullView reports whether this node has been a relay for long enough to know
// every member.
func (w *tableWriter) hasFullView(view *membership.View) bool {
	now := w.clock.Now()
	if !view.Complete() {
		w.completeSince = time.Time{}
		return false
	}
	if w.completeSince.IsZero() {
		w.completeSince = now
	}
	return now.Sub(w.completeSince) >= membershipWarmup
}

// rank returns how many relays write before this one: the number of failure domains
// that come first and of relays before it in its own. A node that is shutting down
// does not wait, so that its owners are replaced at once.
func (w *tableWriter) rank(view *membership.View) int {
	if w.members.Self().State == membership.Leaving {
		return 0
	}
	seen := map[string]bool{}
	var domains []string
	for _, entry := range view.All() {
		if !seen[entry.FailureDomain] {
			seen[entry.FailureDomain] = true
			domains = append(domains, entry.FailureDomain)
		}
	}
	_, ownPosition := w.relays.Position()
	return quota.DomainRank(w.mesh.Self().FailureDomain, domains) + max(0, ownPosition)
}

// write replaces the table in the store unless another node has changed it meanwhile.
func (w *tableWriter) write(ctx context.Context, before, next *config.OwnerTable) error {
	data, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode owner table")
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var revision int64
	if before != nil {
		revision = before.Revision
	}
	result, err := w.store.Commit(ctx, store.Txn{
		Compares: []store.Compare{{Key: w.key, Revision: revision}},
		Puts:     []store.Put{{Key: w.key, Value: data}},
	})
	if err == nil && result.Succeeded {
		w.log.WithField("revision", result.Revision).Info("wrote the owner table")
	}
	return err
}

// candidatesOf returns the members that may be owners.
func candidatesOf(view *membership.View) []quota.Candidate {
	var candidates []quota.Candidate
	for _, entry := range view.All() {
		if entry.State == membership.Leaving || entry.State == membership.Gone {
			continue
		}
		candidates = append(candidates, quota.Candidate{
			VM: entry.VM, Incarnation: entry.Incarnation, Region: entry.Region, Address: entry.MeshAddress,
		})
	}
	return candidates
}

// storeRegion returns the region of the failure domain with double weight, which is
// the store's region, or an empty string if there is none.
func storeRegion(doc *config.Document) string {
	for _, domain := range doc.Domains {
		if domain.Weight > 1 {
			return domain.Region
		}
	}
	return ""
}
