package quarantine

import (
	"context"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quarantine"
)

// List returns the records that the VMs of a service hold and that are in
// effect. It blocks until one VM has answered or the context ends.
func (m *Module) List(ctx context.Context, service string) ([]quarantine.Record, error) {
	table, _, err := m.collect(ctx, service)
	if err != nil {
		return nil, err
	}
	var inEffect []quarantine.Record
	for _, record := range table.Records(m.clock.Now()) {
		if !record.Settled {
			inEffect = append(inEffect, record)
		}
	}
	return inEffect, nil
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
	for _, entry := range others {
		var answer exchangeMessage
		peer := mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
		if err := m.mesh.Exchange(ctx, peer, mesh.KindQuarantine, exchangeMessage{}, &answer); err == nil {
			table.Merge(answer.Records, m.clock.Now())
			answered = true
		}
	}
	if !answered {
		return nil, nil, errors.Errorf("no VM of service %q answered", service)
	}
	return table, others, nil
}
