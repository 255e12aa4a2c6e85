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
	// maxLenders bounds the number of lenders that an owner names to a holder.
	// peerSelectionTTL is how long it names the same lenders and arbiters.
	maxLenders       = 4
	peerSelectionTTL = 500 * time.Millisecond
	// borrowTimeout bounds a message to a lender; a later loan would help no waiting
	// request.
	borrowTimeout = 300 * time.Millisecond
)

var errNoShare = errors.New("this node has no share of the organisation")

// lender is a holder that may lend.
type lender struct {
	VM      string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// answerMessage is the mesh message that carries an owner's Answer.
type answerMessage struct {
	Answer quota.Answer `cbor:"1,keyasint"`
	// Lenders may lend to the holder while the owner does not answer.
	Lenders []lender `cbor:"2,keyasint,omitempty"`
	// Arbiter is the mesh address of the arbiter named in the Answer.
	Arbiter string `cbor:"3,keyasint,omitempty"`
}

// peerSelection has the lenders and arbiters that an organisation's owner names to
// its holders.
type peerSelection struct {
	chosenAt time.Time
	lenders  []lender
	arbiters []quota.HolderID
}

// selectPeers returns the organisation's lenders, which are the holders with the
// largest rates, and its arbiters. The caller holds the mutex.
func (s *owners) selectPeers(organisation string, owner *quota.Owner) peerSelection {
	now := s.clock.Now()
	previous := s.selected[organisation]
	if now.Sub(previous.chosenAt) < peerSelectionTTL {
		return previous
	}
	selected := peerSelection{chosenAt: now, arbiters: s.chooseArbiters(previous.arbiters)}
	for _, id := range owner.LargestHolders(maxLenders) {
		if info, ok := s.holderInfos[id]; ok {
			selected.lenders = append(selected.lenders, lender{VM: id.VM, Address: info.address})
		}
	}
	s.selected[organisation] = selected
	return selected
}

// setLenders replaces the known lenders. The caller holds the mutex.
func (h *nodeShare) setLenders(lenders []lender, self string) {
	h.lenders = h.lenders[:0:0]
	for _, other := range lenders {
		if other.VM != self {
			h.lenders = append(h.lenders, other)
		}
	}
}

// borrow asks other holders for loans if that is due. The caller holds h.mu.
func (s *holders) borrow(h *nodeShare, now time.Time) {
	if !h.holder.OwnerUnresponsive() {
		return
	}
	lenders := h.lenders
	if len(lenders) == 0 {
		lenders = s.knownMembers()
	}
	for i, request := range h.holder.Borrow(now, h.waiting, len(lenders)) {
		go s.askLoan(h, lenders[i], request)
	}
}

// knownMembers returns up to maxLenders members as lenders, for a holder that has not
// received lenders from an owner yet.
func (s *holders) knownMembers() (lenders []lender) {
	for _, entry := range s.members.View().All() {
		if entry.VM != s.mesh.Self().VM && entry.State != membership.Gone && len(lenders) < maxLenders {
			lenders = append(lenders, lender{VM: entry.VM, Address: entry.MeshAddress})
		}
	}
	return lenders
}

// askLoan asks one holder for a loan and applies the answer.
func (s *holders) askLoan(h *nodeShare, from lender, request quota.Borrow) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	var loan quota.Loan
	err := s.mesh.Exchange(ctx, mesh.Peer{VM: from.VM, Address: from.Address}, mesh.KindQuotaLoan, request, &loan)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		s.log.WithError(err).WithField("organisation", request.Organisation).WithField("lender", from.VM).Debug("cannot borrow from the lender")
		h.holder.CancelBorrow(request.Number)
		return
	}
	if h.holder.AddLoan(s.clock.Now(), loan) {
		s.metrics.borrowed.WithLabelValues(s.metrics.label(request.Organisation)).Inc()
		h.notifyWaiting()
	}
}

// serveLoan answers another holder's Borrow message.
func (s *holders) serveLoan(_ context.Context, _ mesh.Identity, request quota.Borrow) (quota.Loan, error) {
	s.mu.Lock()
	h := s.byOrganisation[request.Organisation]
	s.mu.Unlock()
	if h == nil {
		return quota.Loan{}, errNoShare
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Lend(s.update(h), request)
}
