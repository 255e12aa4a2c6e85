package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

const (
	// maxLenders bounds the holders that an owner names to others as lenders,
	// and namedLife how long it names the same ones.
	maxLenders = 4
	namedLife  = 500 * time.Millisecond
	// borrowTimeout bounds a message to a lender; a loan that comes later
	// helps no request that waits.
	borrowTimeout = 300 * time.Millisecond
)

var errNoShare = errors.New("this node has no share of the organisation")

// lender is a holder with a large share.
type lender struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// answerMessage is an owner's answer on its way to a holder.
type answerMessage struct {
	Answer quota.Answer `cbor:"1,keyasint"`
	// Lenders can lend to the holder while the owner does not answer.
	Lenders []lender `cbor:"2,keyasint,omitempty"`
	// Arbiter is the mesh address of the answer's arbiter.
	Arbiter string `cbor:"3,keyasint,omitempty"`
}

// namedHolders are the holders that the owner of an organisation names to
// others.
type namedHolders struct {
	chosen   time.Time
	lenders  []lender
	arbiters []quota.HolderID
}

// name returns the organisation's holders with the largest shares, and the
// arbiters. The caller holds the mutex.
func (s *owners) name(organisation string, owner *quota.Owner) namedHolders {
	now := s.clock.Now()
	before := s.named[organisation]
	if now.Sub(before.chosen) < namedLife {
		return before
	}
	named := namedHolders{chosen: now, arbiters: s.chooseArbiters(before.arbiters)}
	for _, id := range owner.Largest(maxLenders) {
		if a, ok := s.askers[id]; ok {
			named.lenders = append(named.lenders, lender{VM: id.VM, Address: a.address})
		}
	}
	s.named[organisation] = named
	return named
}

// learnLenders takes in whom to borrow from. The caller holds the mutex.
func (h *holding) learnLenders(lenders []lender, self string) {
	h.lenders = h.lenders[:0:0]
	for _, other := range lenders {
		if other.VM != self {
			h.lenders = append(h.lenders, other)
		}
	}
}

// borrow asks other holders for loans if that is due. The caller holds the
// holding's mutex.
func (s *holders) borrow(h *holding, now time.Time) {
	if !h.holder.Failing() {
		return
	}
	lenders := h.lenders
	if len(lenders) == 0 {
		lenders = s.knownMembers()
	}
	for i, ask := range h.holder.Borrow(now, h.waiting, len(lenders)) {
		go s.askLoan(h, lenders[i], ask)
	}
}

// knownMembers returns some VMs that this node knows, for a holder that had no
// answer yet which names lenders.
func (s *holders) knownMembers() (lenders []lender) {
	for _, entry := range s.members.View().All() {
		if entry.VM != s.mesh.Self().VM && entry.State != membership.Gone && len(lenders) < maxLenders {
			lenders = append(lenders, lender{VM: entry.VM, Address: entry.MeshAddress})
		}
	}
	return lenders
}

// askLoan asks one holder for a loan and takes it in.
func (s *holders) askLoan(h *holding, from lender, ask quota.Borrow) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	var loan quota.Loan
	err := s.mesh.Exchange(ctx, mesh.Peer{VM: from.VM, Address: from.Address}, mesh.KindQuotaLoan, ask, &loan)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		s.log.WithError(err).WithField("organisation", ask.Organisation).WithField("lender", from.VM).Debug("lender did not answer")
		h.holder.ForgetBorrow(ask.Number)
		return
	}
	if h.holder.TakeLoan(s.clock.Now(), loan) {
		s.metrics.borrowed.WithLabelValues(s.metrics.label(ask.Organisation)).Inc()
		h.wake()
	}
}

// serveLoan lends to another holder.
func (s *holders) serveLoan(_ context.Context, _ mesh.Identity, ask quota.Borrow) (quota.Loan, error) {
	s.mu.Lock()
	h := s.byOrganisation[ask.Organisation]
	s.mu.Unlock()
	if h == nil {
		return quota.Loan{}, errNoShare
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Lend(s.follow(h), ask)
}
