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
	// maxHolderSilence is the maximum age of the last Ask of a node chosen as arbiter.
	maxHolderSilence = 3 * time.Second
	// arbiterCount is the number of arbiters of an organisation. With two, at least
	// one is not on the holder's own VM.
	arbiterCount = 2
	// arbiterTimeout bounds a message to an arbiter.
	arbiterTimeout = 300 * time.Millisecond
)

var errOtherIncarnation = errors.New("another incarnation of this node was the arbiter")

// arbiterServer serves the mesh messages to this node's arbiter.
type arbiterServer struct {
	*Module
	mu      sync.Mutex
	arbiter *quota.Arbiter
}

// arbiterAnswer is an arbiter's answer to an Extend or a Close message. Granted means
// that the share is extended, or closed.
type arbiterAnswer struct {
	Granted bool `cbor:"1,keyasint"`
}

func (s *arbiterServer) serveExtend(_ context.Context, from mesh.Identity, request quota.Extend) (arbiterAnswer, error) {
	if !s.isSelf(request.Arbiter) {
		return arbiterAnswer{}, errOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arbiter.Extend(s.clock.Now(), holderOf(from), request)
	return arbiterAnswer{Granted: true}, nil
}

func (s *arbiterServer) serveClose(_ context.Context, _ mesh.Identity, request quota.Close) (arbiterAnswer, error) {
	if !s.isSelf(request.Arbiter) {
		return arbiterAnswer{}, errOtherIncarnation
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return arbiterAnswer{Granted: s.arbiter.Close(s.clock.Now(), request)}, nil
}

func (s *arbiterServer) isSelf(id quota.HolderID) bool {
	return id == holderOf(s.mesh.Self())
}

// chooseArbiters selects nodes whose holders have asked recently. It prefers the
// previous ones, then nodes of other failure domains in this node's region, then
// nodes of its own failure domain, then nodes of other regions. The caller holds
// the mutex.
func (s *owners) chooseArbiters(previous []quota.HolderID) []quota.HolderID {
	now, self := s.clock.Now(), s.mesh.Self()
	var live []quota.HolderID
	for id, a := range s.holderInfos {
		if id.VM != self.VM && now.Sub(a.lastAsk) < maxHolderSilence {
			live = append(live, id)
		}
	}
	rank := func(id quota.HolderID) int {
		a := s.holderInfos[id]
		switch {
		case slices.Contains(previous, id):
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
	return live[:min(len(live), arbiterCount)]
}

// closeOverdue asks the arbiters about silent holders. The caller holds the mutex.
func (s *owners) closeOverdue() {
	now := s.clock.Now()
	for organisation, owner := range s.byOrganisation {
		for _, request := range owner.CloseRequests(now, organisation) {
			go s.askClose(owner, request, s.holderInfos[request.Arbiter].address)
		}
	}
}

// askClose sends a Close message to its arbiter and applies the answer.
func (s *owners) askClose(owner *quota.Owner, request quota.Close, address string) {
	answer, err := s.askArbiter(request.Arbiter, address, mesh.KindQuotaClose, request)
	if err != nil {
		s.log.WithError(err).WithField("arbiter", request.Arbiter.VM).Debug("cannot ask the arbiter about an overdue share; retrying")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner.ApplyClose(s.clock.Now(), request, answer.Granted)
}

// extend asks the share's arbiter for an extension if that is due. The caller holds
// h.mu.
func (s *holders) extend(h *nodeShare, now time.Time) {
	if request, due := h.holder.Extend(now); due {
		go s.askExtend(h, request, h.arbiterAddress)
	}
}

// askExtend sends an Extend message to its arbiter and applies the answer.
func (s *holders) askExtend(h *nodeShare, request quota.Extend, address string) {
	answer, err := s.askArbiter(request.Arbiter, address, mesh.KindQuotaExtend, request)
	if err != nil || !answer.Granted {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holder.ApplyExtension(s.clock.Now(), request)
}

func (m *Module) askArbiter(arbiter quota.HolderID, address string, kind mesh.Kind, request any) (answer arbiterAnswer, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), arbiterTimeout)
	defer cancel()
	err = m.mesh.Exchange(ctx, mesh.Peer{VM: arbiter.VM, Address: address}, kind, request, &answer)
	return answer, err
}
