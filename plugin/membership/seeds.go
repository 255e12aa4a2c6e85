package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/store"
)

// seedsPrefix is the prefix, after the store's prefix, of the keys that hold
// the seeds of each failure domain.
const seedsPrefix = "seeds/"

const (
	// isolatedSeedsInterval is the mean time between two reads of the store's
	// seeds while this node is isolated; seedsInterval is the mean time between
	// two reads by the first relay of a failure domain.
	isolatedSeedsInterval = 2 * time.Second
	seedsInterval         = 60 * time.Second
	seedsTimeout          = 2 * time.Second
)

// seedList is the value of a failure domain's seeds in the store.
type seedList struct {
	// Addresses are the mesh addresses of the domain's relays.
	Addresses []string `json:"addresses"`
}

// syncSeeds polls the store's seeds, so that nodes discover each other without
// seeds in their settings, and parts of the fleet that started separately
// merge. The first relay of a failure domain updates the domain's seeds.
func (m *Module) syncSeeds(ctx context.Context) error {
	due := m.clock.Now().Add(seedInterval)
	for {
		if err := kernel.Sleep(ctx, m.clock, isolatedSeedsInterval/2+rand.N(isolatedSeedsInterval)); err != nil {
			return err
		}
		isolated, first := m.seedRole()
		if !isolated && (!first || m.clock.Now().Before(due)) {
			continue
		}
		due = m.clock.Now().Add(seedsInterval/2 + rand.N(seedsInterval))
		if err := m.refreshSeeds(ctx, first); err != nil && ctx.Err() == nil {
			m.log.WithError(err).Debug("refreshing the seeds in the store failed")
		}
	}
}

// seedRole reports whether this node is isolated, and whether it is the first
// relay of its failure domain.
func (m *Module) seedRole() (isolated, first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated(), m.rank() == 0
}

// refreshSeeds reads the seeds of all failure domains and, if write is true,
// updates the seeds of this node's domain if they differ. Concurrent writers
// are harmless.
func (m *Module) refreshSeeds(ctx context.Context, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, seedsTimeout)
	defer cancel()
	prefix := m.prefix + seedsPrefix
	listing, err := m.store.List(ctx, prefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	own := prefix + m.self.FailureDomain
	wanted := addresses(m.ownRelays())
	m.mu.Unlock()
	var found []string
	current := false
	for _, record := range listing.Records {
		var list seedList
		if err := json.Unmarshal(record.Value, &list); err != nil {
			m.log.WithError(err).WithField("key", record.Key).Warn("ignoring invalid seeds in the store")
			continue
		}
		found = append(found, list.Addresses...)
		current = current || record.Key == own && slices.Equal(list.Addresses, wanted)
	}
	m.mu.Lock()
	m.storeSeeds = found
	m.mu.Unlock()
	if !write || current {
		return nil
	}
	value, err := json.Marshal(seedList{Addresses: wanted})
	if err != nil {
		return errors.Wrap(err, "encode seeds")
	}
	_, err = m.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: own, Value: value}}})
	return err
}

func addresses(entries []membership.Entry) []string {
	list := make([]string, 0, len(entries))
	for _, entry := range entries {
		list = append(list, entry.MeshAddress)
	}
	slices.Sort(list)
	return list
}
