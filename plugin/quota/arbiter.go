package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

const (
	// arbiterLife is how long ago a holder may have asked to be an arbiter.
	arbiterLife = 3 * time.Second
	// namedArbiters are as many that one of them is not the holder's own VM.
	namedArbiters  = 2
	arbiterTimeout = 300 * time.Millisecond
)

var errOtherIncarnation = errors.New("another incarnation of this node was the arbiter")

// arbiterServer answers for this node's arbiter.
type arbiterServer struct {
	*Module
	mu      sync.Mutex
	arbiter *quota.Arbiter
}

// verdict is the answer of an arbiter.
type verdict struct {
	Granted bool `cbor:"1,keyasint"`
}

func (s *arbiterServer) serveExtend(_ context.Context, from mesh.Identity, ask quota.Extend) (verdict, error) {
	if !s.isSelf(ask.Arbiter) {
		return verdict{}, errOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arbiter.Extend(s.clock.Now(), holderOf(from), ask)
	return verdict{Granted: true}, nil
}

func (s *arbiterServer) serveClose(_ context.Context, _ mesh.Identity, ask quota.Close) (verdict, error) {
	if !s.isSelf(ask.Arbiter) {
		return verdict{}, errOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return verdict{Granted: s.arbiter.Close(s.clock.Now(), ask)}, nil
}

func (s *arbiterServer) isSelf(id quota.HolderID) bool {
	return id == holderOf(s.mesh.Self())
}

// chooseArbiters returns holders that have asked lately: those chosen before,
// then those of this node's region, then those of other failure domains. The
// caller holds the mutex.
func (s *owners) chooseArbiters(before []quota.HolderID) []quota.HolderID {
	now, self := s.clock.Now(), s.mesh.Self()
	var live []quota.HolderID
	for id, a := range s.askers {
		if id.VM != self.VM && now.Sub(a.at) < arbiterLife {
			live = append(live, id)
		}
	}
	rank := func(id quota.HolderID) int {
		a := s.askers[id]
		switch {
		case slices.Contains(before, id):
			return 0
		case a.identity.Region != self.Region:
			return 3
		case a.identity.FailureDomain == self.FailureDomain:
			return 2
		}
		return 1
	}
	slices.SortFunc(live, func(a, b quota.HolderID) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.VM, b.VM))
	})
	return live[:min(len(live), namedArbiters)]
}

// closeOverdue asks the arbiters about holders that are silent. The caller
// holds the mutex.
func (s *owners) closeOverdue() {
	now := s.clock.Now()
	for organisation, owner := range s.byOrganisation {
		for _, ask := range owner.Overdue(now, organisation) {
			go s.askClose(owner, ask, s.askers[ask.Arbiter].address)
		}
	}
}

func (s *owners) askClose(owner *quota.Owner, ask quota.Close, address string) {
	answer, err := s.askArbiter(ask.Arbiter, address, mesh.KindQuotaClose, ask)
	if err != nil {
		s.log.WithError(err).WithField("arbiter", ask.Arbiter.VM).Debug("arbiter did not answer")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner.Settle(s.clock.Now(), ask, answer.Granted)
}

// extend asks the arbiter of a share for a longer one, if that is due. The
// caller holds the holding's mutex.
func (s *holders) extend(h *holding, now time.Time) {
	if ask, due := h.holder.Extend(now); due {
		go s.askExtend(h, ask, h.arbiterAddress)
	}
}

func (s *holders) askExtend(h *holding, ask quota.Extend, address string) {
	answer, err := s.askArbiter(ask.Arbiter, address, mesh.KindQuotaExtend, ask)
	if err != nil || !answer.Granted {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.Extended(s.clock.Now(), ask)
}

func (m *Module) askArbiter(arbiter quota.HolderID, address string, kind mesh.Kind, ask any) (answer verdict, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
	defer cancel()
	err = m.mesh.Exchange(ctx, mesh.Peer{VM: arbiter.VM, Address: address}, kind, ask, &answer)
	return answer, err
}
