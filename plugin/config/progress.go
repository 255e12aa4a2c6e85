package config

import (
	"context"
	"fmt"
	"slices"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/mesh"
)

var _ config.Progress = (*Module)(nil)

// progressQuery asks a relay which conditions for the acceptance of a revision
// are not met yet.
type progressQuery struct {
	Revision int64 `cbor:"1,keyasint"`
}

type progressAnswer struct {
	WaitsFor []string `cbor:"1,keyasint,omitempty"`
}

// WaitsFor implements config.Progress.
func (m *Module) WaitsFor(ctx context.Context, wanted int64) ([]string, error) {
	relays, rank := m.members.Position()
	if rank >= 0 {
		return m.waitsFor(wanted), nil
	}
	var answer progressAnswer
	var err error
	for _, r := range relays {
		if err = m.queryProgress(ctx, mesh.Peer{VM: r.VM, Address: r.MeshAddress}, wanted, &answer); err == nil {
			return answer.WaitsFor, nil
		}
	}
	return nil, err
}

func (m *Module) queryProgress(ctx context.Context, peer mesh.Peer, wanted int64, answer *progressAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return m.mesh.Exchange(ctx, peer, mesh.KindProgress, progressQuery{Revision: wanted}, answer)
}

func (m *Module) serveProgress(_ context.Context, _ mesh.Identity, q progressQuery) (progressAnswer, error) {
	return progressAnswer{WaitsFor: m.waitsFor(q.Revision)}, nil
}

// waitsFor lists the conditions for the acceptance of a revision that are not
// met yet, as far as this relay knows.
func (m *Module) waitsFor(wanted int64) []string {
	if m.Accepted() >= wanted {
		return nil
	}
	own := m.newReport()
	_, missing := m.members.OwnDomain(m.clock.Now().Add(-m.Bound.Std()))
	relays := m.members.OtherRelays()
	ended := m.endedWitnesses()
	m.mu.Lock()
	defer m.mu.Unlock()
	var conditions []string
	if m.held() < wanted {
		conditions = append(conditions, "the store to be read")
	} else if !m.attestations.Acknowledged(m.witnesses, m.tableAccepted(), wanted, ended) {
		conditions = append(conditions, "a majority of the failure domains")
	}
	for _, entry := range missing {
		conditions = append(conditions, fmt.Sprintf("VM %s, unheard", entry.VM))
	}
	if own != nil && own.Held < wanted {
		conditions = append(conditions, "VMs of failure domain "+own.Domain)
	}
	now := m.clock.Now()
	var domains []string
	for domain := range relays {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	for _, domain := range domains {
		report, ok := m.reports[domain]
		switch {
		case m.domainHolds(domain, wanted, now):
		case !ok || now.Sub(report.requestedAt) > m.Bound.Std():
			conditions = append(conditions, fmt.Sprintf("failure domain %s, unheard", domain))
		default:
			conditions = append(conditions, "VMs of failure domain "+domain)
		}
	}
	return conditions
}
