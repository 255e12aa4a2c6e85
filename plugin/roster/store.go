package roster

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/store"
)

// maintainLease renews the lease and writes this node's entry when it changes.
func (m *Module) maintainLease(ctx context.Context) error {
	timer := m.clock.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.Chan():
		case <-m.dirty:
			m.writeEntry(ctx)
			continue
		case <-m.entryLost:
			// The lease may be lost too and its number given to another node, so it is
			// neither renewed nor revoked.
			m.setLease(0, time.Time{})
		}
		m.renew(ctx)
		timer.Reset(m.Lease.Std() / renewals)
	}
}

// notifyRestored is called when the store was restored from a copy. It does not block.
func (m *Module) notifyRestored() {
	m.log.Warn("the store was restored from a copy; writing this node's entry and departures again")
	m.metrics.restores.Inc()
	for _, lost := range []chan struct{}{m.entryLost, m.departuresLost} {
		select {
		case lost <- struct{}{}:
		default:
		}
	}
}

// renew extends the lease. If there is none or it has expired, it requests a new
// one and writes the entry under it.
func (m *Module) renew(ctx context.Context) {
	if m.Self().State == membership.Gone {
		return
	}
	sentAt := m.clock.Now()
	if m.currentLease() != 0 {
		remaining, err := m.keepAlive(ctx)
		m.recordCall("keep", err)
		if err == nil && remaining > 0 {
			m.setLease(m.currentLease(), sentAt)
		}
		if err != nil || remaining > 0 {
			return
		}
		m.log.Warn("lease of this node's entry expired; requesting a new one")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	lease, err := m.store.Grant(ctx, m.Lease.Std())
	m.recordCall("grant", err)
	if err != nil {
		return
	}
	m.setLease(lease, sentAt)
	m.writeEntry(ctx)
}

// setLease records the lease and a time at which it was valid.
func (m *Module) setLease(lease store.LeaseID, validAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.leaseValidAt = lease, validAt
}

func (m *Module) keepAlive(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return m.store.KeepAlive(ctx, m.currentLease())
}

func (m *Module) currentLease() store.LeaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease
}

// writeEntry writes this node's entry under the lease. If the write fails, the
// lease is discarded, so that the next renewal requests a new one and writes the
// entry again. Entries are versioned, so a delayed write is harmless.
func (m *Module) writeEntry(ctx context.Context) {
	lease, self := m.currentLease(), m.Self()
	if lease == 0 || self.State == membership.Gone {
		return
	}
	value, err := mesh.Encode(self)
	if err != nil {
		m.log.WithError(err).Error("encoding this node's entry failed; it is not written to the store")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_, err = m.store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: m.prefix + entryName(self), Value: value, Lease: lease}}})
	m.recordCall("put", err)
	if err == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease == lease {
		m.lease = 0
	}
}

// recordCall records the result of a call to the store, calls the handlers for
// calls without response, and logs when the store becomes unavailable or
// available again.
func (m *Module) recordCall(callName string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.metrics.storeCalls.WithLabelValues(callName, result).Inc()
	if errors.Is(err, context.Canceled) {
		return
	}
	if errors.Is(err, store.ErrOutcomeUnknown) {
		for _, f := range m.storeTimeoutHandlers {
			f()
		}
	}
	wasUnavailable := m.storeUnavailable.Swap(err != nil)
	switch {
	case err != nil && !wasUnavailable:
		m.log.WithError(err).WithField("call", callName).Warn("dependency lost: store; keeping the last member list and updating it by gossip")
	case err == nil && wasUnavailable:
		m.log.WithField("call", callName).Info("dependency regained: store")
	}
}

// list polls the store's listing of the fleet, as far as this node has to.
func (m *Module) list(ctx context.Context) error {
	for listings := 0; ; {
		if m.listStep(ctx, listings) {
			listings++
		}
		interval := startupListInterval
		if listings >= startupListings {
			m.starting.Store(false)
			interval = m.listInterval()
		}
		if err := kernel.Sleep(ctx, m.clock, interval); err != nil {
			return err
		}
	}
}

// listInterval returns the time until the next listing or, in a fleet that shares
// listings, the next check whether this node has to make one.
func (m *Module) listInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	if m.sharesListings {
		return checkInterval
	}
	return listInterval
}

// listStep makes the listing that is due, if any, and reports whether it succeeded.
// The first ones begin with the own failure domain, until a large one was found.
func (m *Module) listStep(ctx context.Context, listings int) bool {
	if listings < domainListings && !m.sharesDomain() {
		domainSize, ok := m.listDomain(ctx)
		if !ok {
			return false
		}
		if domainSize > maxSmallDomain && !m.isRelay() {
			m.startSync()
			return true
		}
		return m.listFleet(ctx)
	}
	if !m.listingDue() {
		return true
	}
	return m.listFleet(ctx)
}

// sharesDomain reports whether this node has other nodes of a large failure domain
// in view, of which the relays list the fleet.
func (m *Module) sharesDomain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return len(m.domain) > maxSmallDomain
}

func (m *Module) isRelay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return membership.Rank(membership.Relays(m.domain), m.self.VM) >= 0
}

func (m *Module) listingDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rankedGroup()
	return !m.sharesListings || membership.ListingDue(m.domain, m.self.VM, m.listingAge(), rand.Float64())
}

// listDomain lists this node's failure domain and returns the number of its VMs.
func (m *Module) listDomain(ctx context.Context) (size int, ok bool) {
	domain := m.Self().FailureDomain
	entries, _, ok := m.readListing(ctx, m.prefix+domain+"/")
	if !ok {
		return 0, false
	}
	m.mu.Lock()
	now := m.clock.Now()
	if m.roster.MergeDomainListing(domain, entries, now) {
		m.publish()
	}
	m.mu.Unlock()
	m.domainListed.Store(true)
	return len(entries), true
}

// listFleet lists the fleet and reports whether that succeeded.
func (m *Module) listFleet(ctx context.Context) bool {
	sentAt := m.clock.Now()
	entries, revision, ok := m.readListing(ctx, m.prefix)
	if !ok {
		return false
	}
	if m.mergeListing(entries, revision, sentAt) {
		m.startSync()
	}
	return true
}

// readListing reads and decodes the entries under the prefix.
func (m *Module) readListing(ctx context.Context, prefix string) (entries []membership.Entry, revision int64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := m.store.ListStale(ctx, prefix)
	m.recordCall("list", err)
	if err != nil {
		return nil, 0, false
	}
	m.metrics.listed.Add(float64(len(listing.Records)))
	now := m.clock.Now()
	for _, record := range listing.Records {
		entry, err := decodeEntry(strings.TrimPrefix(record.Key, m.prefix), record.Value, now)
		if err != nil {
			m.logInvalidRecord(record, err)
			continue
		}
		entries = append(entries, entry)
		m.handlePredecessor(entry)
	}
	return entries, listing.Revision, true
}

// mergeListing merges a listing of the store and reports whether it is the
// first.
func (m *Module) mergeListing(entries []membership.Entry, revision int64, sentAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changed := m.roster.MergeListing(entries, now)
	m.roster.SetListing(entries, revision, sentAt)
	if m.roster.Expire(m.self.VM, now) || changed {
		m.publish()
		m.log.WithFields(log.Fields{"vms": len(entries), "revision": revision}).Info("member list changed by a listing of the store")
	}
	return !m.loaded.Swap(true)
}

// entryName returns the part of a key after the prefix of entries: the failure
// domain, by which a node can list its own, and the VM.
func entryName(entry membership.Entry) string { return entry.FailureDomain + "/" + entry.VM }

// decodeEntry decodes and validates the entry that the store holds under a name.
// Nodes of earlier versions write their entries as JSON, under the VM's name alone.
func decodeEntry(name string, value []byte, now time.Time) (membership.Entry, error) {
	var entry membership.Entry
	decode := mesh.Decode
	if bytes.HasPrefix(value, []byte("{")) {
		decode = json.Unmarshal
	}
	if err := decode(value, &entry); err != nil {
		return membership.Entry{}, err
	}
	if name != entryName(entry) && name != entry.VM {
		return membership.Entry{}, errors.Errorf("entry of VM %.80q has the key %.80q", entry.VM, name)
	}
	return entry, entry.Validate(now)
}

// maxInvalidRecords bounds the invalid records that are remembered as logged.
const maxInvalidRecords = 256

// logInvalidRecord logs a record that names no VM, once for each revision.
func (m *Module) logInvalidRecord(record store.Record, err error) {
	if revision, logged := m.invalidRecords[record.Key]; logged && revision == record.ModRevision {
		return
	}
	if len(m.invalidRecords) >= maxInvalidRecords {
		clear(m.invalidRecords)
	}
	m.invalidRecords[record.Key] = record.ModRevision
	m.log.WithError(err).WithFields(log.Fields{"key": record.Key, "revision": record.ModRevision}).
		Warn("ignoring an invalid entry in the store; its VM counts as not listed")
}
