package quarantine

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quarantine"
)

// askParallel bounds the VMs that are asked at a time for what they know.
const askParallel = 16

// List returns what the VMs of a service know of suspected and quarantined
// requests. It blocks until all have answered or a short timeout; it is an
// error if none did.
func (m *Module) List(ctx context.Context, service string) ([]quarantine.Summary, error) {
	table, _, err := m.collect(ctx, service)
	if err != nil {
		return nil, err
	}
	return table.Summaries(m.clock.Now()), nil
}

// Lift ends the quarantine of a fingerprint on every VM of the service that
// can be reached; the others learn it from them. It reports whether there was
// anything to lift.
func (m *Module) Lift(ctx context.Context, service string, fingerprint ledger.Fingerprint) (bool, error) {
	table, members, err := m.collect(ctx, service)
	if err != nil {
		return false, err
	}
	lifted := table.Lift(fingerprint)
	message := exchangeMessage{Records: table.Records(m.clock.Now())}
	if m.members.Self().Service == service {
		m.merge(message)
	}
	for _, entry := range members {
		var answer exchangeMessage
		peer := mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
		if err := m.mesh.Exchange(ctx, peer, mesh.KindQuarantine, message, &answer); err != nil {
			m.log.WithError(err).WithField("vm", entry.VM).Warn("VM was not told of the lifted quarantine")
		}
	}
	return lifted, nil
}

// collect merges the records of all VMs of a service that answer.
func (m *Module) collect(ctx context.Context, service string) (*quarantine.Table, []membership.Entry, error) {
	table := quarantine.NewTable(quarantine.Options{
		SuspectFor: m.SuspectFor.Std(), QuarantineFor: m.QuarantineFor.Std(), MaxRecords: m.MaxRecords,
	})
	answered := m.members.Self().Service == service
	if answered {
		table.Merge(m.records().Records, m.clock.Now())
	}
	others := m.others(service)
	for _, records := range m.recordsOf(ctx, others) {
		table.Merge(records, m.clock.Now())
		answered = true
	}
	if !answered {
		return nil, nil, errors.Errorf("no VM of service %q answered", service)
	}
	return table, others, nil
}

// recordsOf asks VMs for their records and returns those that came.
func (m *Module) recordsOf(ctx context.Context, vms []membership.Entry) [][]quarantine.Record {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var mu sync.Mutex
	var all [][]quarantine.Record
	var group errgroup.Group
	group.SetLimit(askParallel)
	for _, entry := range vms {
		group.Go(func() error {
			var answer exchangeMessage
			peer := mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
			if err := m.mesh.Exchange(ctx, peer, mesh.KindQuarantine, exchangeMessage{}, &answer); err != nil {
				m.log.WithError(err).WithField("vm", entry.VM).Debug("VM was not asked for its quarantine records")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, answer.Records)
			return nil
		})
	}
	_ = group.Wait()
	return all
}
