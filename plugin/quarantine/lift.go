package quarantine

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/quarantine"
)

// maxParallelExchanges bounds the VMs that are queried concurrently.
const maxParallelExchanges = 16

// List returns summaries of the suspected and quarantined requests of a
// service, merged from the records of its VMs. It blocks until all VMs have
// answered or syncTimeout expires, and returns an error if none answered.
func (m *Module) List(ctx context.Context, service string) ([]quarantine.Summary, error) {
	table, _, err := m.mergedTable(ctx, service)
	if err != nil {
		return nil, err
	}
	return table.Summaries(m.clock.Now()), nil
}

// Lift ends the quarantine of a fingerprint on every reachable VM of the
// service; the others receive the settled records in later exchanges. It
// reports whether there was anything to lift.
func (m *Module) Lift(ctx context.Context, service string, fingerprint ledger.Fingerprint) (bool, error) {
	table, members, err := m.mergedTable(ctx, service)
	if err != nil {
		return false, err
	}
	lifted := table.Lift(fingerprint, m.clock.Now())
	message := exchangeMessage{Records: table.Records(m.clock.Now())}
	if m.members.Self().Service == service {
		m.merge(message.Records)
	}
	for _, entry := range members {
		if _, err := m.send(ctx, entry, message); err != nil {
			m.log.WithError(err).WithField("vm", entry.VM).Warn("sending a lifted quarantine to a VM failed; it may refuse the request until it synchronizes")
		}
	}
	return lifted, nil
}

// mergedTable returns a table with the records of all VMs of a service that
// answer, and the other VMs of the service.
func (m *Module) mergedTable(ctx context.Context, service string) (*quarantine.Table, []membership.Entry, error) {
	table := quarantine.NewTable(quarantine.Options{
		SuspectFor: m.SuspectFor.Std(), QuarantineFor: m.QuarantineFor.Std(), MaxRecords: m.MaxRecords,
	})
	answered := m.members.Self().Service == service
	if answered {
		m.mu.Lock()
		table.Merge(m.table.Records(m.clock.Now()), m.clock.Now())
		m.mu.Unlock()
	}
	peers := m.peers(service)
	for _, records := range m.fetchRecords(ctx, peers) {
		table.Merge(records, m.clock.Now())
		answered = true
	}
	if !answered {
		return nil, nil, errors.Errorf("no VM of service %q answered", service)
	}
	return table, peers, nil
}

// fetchRecords queries VMs concurrently and returns the records of those that
// answered within syncTimeout.
func (m *Module) fetchRecords(ctx context.Context, vms []membership.Entry) [][]quarantine.Record {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var mu sync.Mutex
	var all [][]quarantine.Record
	var group errgroup.Group
	group.SetLimit(maxParallelExchanges)
	for _, entry := range vms {
		group.Go(func() error {
			answer, err := m.send(ctx, entry, exchangeMessage{Compare: true})
			if err != nil {
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
