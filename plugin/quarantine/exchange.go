package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quarantine"
)

// exchangeMessage carries records between two VMs of a service.
type exchangeMessage struct {
	Records []quarantine.Record `cbor:"1,keyasint"`
	// Digest is that of the sender's table. If Compare is set and the receiver's table
	// has another one, the answer has its newest records and Differs set.
	Digest  uint64 `cbor:"2,keyasint,omitempty"`
	Compare bool   `cbor:"3,keyasint,omitempty"`
	Differs bool   `cbor:"4,keyasint,omitempty"`
}

// newest returns the newest of the records, maxSyncRecords at most.
func newest(records []quarantine.Record) []quarantine.Record {
	return records[:min(len(records), maxSyncRecords)]
}

// mergeLocked merges records into the table. The caller holds m.mu.
func (m *Module) mergeLocked(records []quarantine.Record) {
	m.table.Merge(records, m.clock.Now())
	m.size.Store(int64(m.table.Len()))
	select {
	case m.filled <- struct{}{}:
	default:
	}
}

func (m *Module) merge(records []quarantine.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mergeLocked(records)
}

func (m *Module) serveExchange(_ context.Context, _ mesh.Identity, request exchangeMessage) (exchangeMessage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(request.Records) > 0 {
		m.mergeLocked(request.Records)
	}
	if !request.Compare || m.table.Digest() == request.Digest {
		return exchangeMessage{}, nil
	}
	return exchangeMessage{Records: newest(m.table.Records(m.clock.Now())), Differs: true}, nil
}

// broadcast sends records to the service's other VMs and blocks until they have them
// or broadcastTimeout expires.
func (m *Module) broadcast(service string, records []quarantine.Record) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, entry := range m.allPeers(service) {
		group.Go(func() { _, _ = m.send(ctx, entry, exchangeMessage{Records: records}) })
	}
	group.Wait()
}

// peers returns the other VMs of the service whose upstreams are ready.
func (m *Module) peers(service string) []membership.Entry {
	return m.others(m.members.View().Service(service), service)
}

// allPeers returns the other VMs of the service. An upstream that is down may be back
// long before the records expire.
func (m *Module) allPeers(service string) []membership.Entry {
	view := m.members.View()
	if !view.Complete() {
		return m.peers(service)
	}
	return m.others(view.All(), service)
}

func (m *Module) others(entries []membership.Entry, service string) []membership.Entry {
	var others []membership.Entry
	for _, entry := range entries {
		if entry.VM != m.mesh.Self().VM && entry.Service == service && entry.State != membership.Gone {
			others = append(others, entry)
		}
	}
	return others
}

func (m *Module) send(ctx context.Context, entry membership.Entry, message exchangeMessage) (exchangeMessage, error) {
	var answer exchangeMessage
	peer := mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
	err := m.mesh.Exchange(ctx, peer, mesh.KindQuarantine, message, &answer)
	if err != nil {
		m.log.WithError(err).WithField("vm", entry.VM).Debug("exchanging quarantine records with a VM failed")
	}
	return answer, err
}

// synchronizeWith takes the records that the VM has and this one has not, and the other
// way round.
func (m *Module) synchronizeWith(ctx context.Context, entry membership.Entry) error {
	m.mu.Lock()
	digest := m.table.Digest()
	m.mu.Unlock()
	answer, err := m.send(ctx, entry, exchangeMessage{Compare: true, Digest: digest})
	if err != nil || !answer.Differs {
		return err
	}
	m.mu.Lock()
	m.mergeLocked(answer.Records)
	missing := newest(m.table.Missing(answer.Records, m.clock.Now()))
	m.mu.Unlock()
	if len(missing) > 0 {
		_, err = m.send(ctx, entry, exchangeMessage{Records: missing})
	}
	return err
}

// Join makes a node that has just started learn the records of its service. The first
// call blocks until one of the service's other VMs has answered, for joinTimeout at
// most.
func (m *Module) Join(service string) {
	if m.Disabled || service == "" {
		return
	}
	m.join.Do(func() {
		peers := m.peers(service)
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		peers = peers[:min(len(peers), joinPeers)]
		if len(peers) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
		answered := make(chan error, len(peers))
		var group sync.WaitGroup
		for _, peer := range peers {
			group.Go(func() { answered <- m.synchronizeWith(ctx, peer) })
		}
		go func() {
			group.Wait()
			cancel()
		}()
		timeout := m.clock.After(joinTimeout)
		for range peers {
			select {
			case err := <-answered:
				if err == nil {
					return
				}
			case <-timeout:
				return
			}
		}
	})
}

// run periodically compares records with a random other VM of the service, so that VMs
// that are new or missed a broadcast receive them. It waits while there are none.
func (m *Module) run(ctx context.Context) error {
	for {
		if m.size.Load() == 0 {
			select {
			case <-m.filled:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if err := kernel.Sleep(ctx, m.clock, syncInterval); err != nil {
			return err
		}
		m.synchronize(ctx)
	}
}

func (m *Module) synchronize(ctx context.Context) {
	m.merge(nil)
	service := m.members.Self().Service
	if service == "" || m.size.Load() == 0 {
		return
	}
	peers := m.peers(service)
	if len(peers) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	_ = m.synchronizeWith(ctx, peers[rand.IntN(len(peers))])
}
