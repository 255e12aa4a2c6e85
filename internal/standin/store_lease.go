package standin

import (
	"time"

	"github.com/mangomast/mangomast/store/etcd"
)

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

func (s *Store) serveGrant(req etcd.LeaseRequest) etcd.LeaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.revision++
	id := s.revision
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return etcd.LeaseResponse{ID: id, TTL: req.TTL}
}

func (s *Store) serveKeepAlive(req etcd.LeaseRequest) etcd.KeepAliveResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.expireLeases()
	lease, ok := s.leases[req.ID]
	if !ok {
		return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: req.ID}}
	}
	lease.expires = time.Now().Add(lease.ttl)
	return etcd.KeepAliveResponse{Result: etcd.LeaseResponse{ID: req.ID, TTL: int64(lease.ttl / time.Second)}}
}

func (s *Store) serveRevoke(req etcd.LeaseRequest) etcd.LeaseResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Leases++
	s.revokeLease(req.ID)
	return etcd.LeaseResponse{ID: req.ID}
}

// expireLeases revokes expired leases. s.mu must be held.
func (s *Store) expireLeases() {
	now := time.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.revokeLease(id)
		}
	}
}

// revokeLease removes a lease and the keys attached to it. s.mu must be held.
func (s *Store) revokeLease(id int64) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, kv := range s.keys {
		if kv.Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}
