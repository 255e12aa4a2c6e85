package membership

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// directoryRequest requests a list of VMs from a relay.
type directoryRequest struct {
	// Domain limits the answer to one failure domain; empty for the fleet.
	Domain string `cbor:"1,keyasint,omitempty"`
}

type directoryAnswer struct {
	Entries []membership.Entry `cbor:"1,keyasint"`
}

// Members implements membership.Directory.
func (m *Module) Members(ctx context.Context) ([]membership.Entry, error) {
	m.mu.Lock()
	isRelay, relays := m.rank() >= 0, m.ownRelays()
	m.mu.Unlock()
	if isRelay {
		return m.listFleet(ctx), nil
	}
	var answer directoryAnswer
	var err error
	for _, r := range relays {
		if err = m.queryDirectory(ctx, r, directoryRequest{}, &answer); err == nil {
			return answer.Entries, nil
		}
	}
	return m.View().All(), err
}

func (m *Module) queryDirectory(ctx context.Context, r membership.Entry, request directoryRequest, answer *directoryAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, 2*exchangeTimeout)
	defer cancel()
	return m.mesh.Exchange(ctx, mesh.Peer{VM: r.VM, Address: r.MeshAddress}, mesh.KindDirectory, request, answer)
}

// listFleet queries one relay of each other failure domain for the domain's
// VMs. For domains that do not answer, it returns the VMs in this node's table.
func (m *Module) listFleet(ctx context.Context) []membership.Entry {
	m.mu.Lock()
	own := m.self.FailureDomain
	all := m.table.Domain(own)
	others := map[string][]membership.Entry{}
	for _, domain := range m.table.Domains() {
		if domain != own {
			others[domain] = m.table.Domain(domain)
		}
	}
	m.mu.Unlock()
	var mu sync.Mutex
	var group sync.WaitGroup
	for domain, known := range others {
		group.Go(func() {
			entries := m.listDomain(ctx, domain, known)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, entries...)
		})
	}
	group.Wait()
	slices.SortFunc(all, func(a, b membership.Entry) int { return cmp.Compare(a.VM, b.VM) })
	return all
}

// listDomain queries the relays of a failure domain for the domain's VMs. It
// returns known if none of them answers with at least as many VMs.
func (m *Module) listDomain(ctx context.Context, domain string, known []membership.Entry) []membership.Entry {
	for _, r := range membership.Relays(known) {
		var answer directoryAnswer
		err := m.queryDirectory(ctx, r, directoryRequest{Domain: domain}, &answer)
		if err == nil && len(answer.Entries) >= len(known) {
			return answer.Entries
		}
	}
	return known
}

// serveDirectory answers another node's request for VMs.
func (m *Module) serveDirectory(ctx context.Context, _ mesh.Identity, r directoryRequest) (directoryAnswer, error) {
	if r.Domain == "" {
		return directoryAnswer{Entries: m.listFleet(ctx)}, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return directoryAnswer{Entries: m.table.Domain(r.Domain)}, nil
}
