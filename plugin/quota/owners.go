package quota

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

var (
	errNotOwner = errors.New("this node is not the organisation's owner now")
)

const recallTimeout = 300 * time.Millisecond

// owners manages the organisations whose limits this node owns.
type owners struct {
	*Module
	mu             sync.Mutex
	byOrganisation map[string]*quota.Owner
	// holderInfos has the holders that have sent an Ask.
	holderInfos map[quota.HolderID]holderInfo
	// completed is the snapshot for which refresh has nothing left to do.
	completed *config.Snapshot
	// handovers are those received for terms that have not started yet, by
	// organisation.
	handovers map[string]quota.HandoverState
	// handoversInFlight counts the handovers that are being sent to other owners.
	handoversInFlight int
	// selected are the current lenders and arbiters, by organisation.
	selected map[string]peerSelection
}

// holderInfo describes a holder that has sent an Ask.
type holderInfo struct {
	identity mesh.Identity
	// address is the node's mesh address.
	address string
	lastAsk time.Time
}

// holderOf returns the ID of a node's holder.
func holderOf(node mesh.Identity) quota.HolderID {
	return quota.HolderID{VM: node.VM, Incarnation: node.Incarnation}
}

// run updates the owners on this node and closes the shares of silent holders
// periodically.
func (s *owners) run(ctx context.Context) error {
	return kernel.Every(ctx, s.clock, termInterval, func(context.Context) {
		s.refresh()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeOverdue()
	})
}

// refresh applies the latest owner table: it starts the owners that this node is to
// run and hands over those that another node has replaced.
func (s *owners) refresh() {
	snapshot := s.config.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot == nil || snapshot.Owners == nil || snapshot == s.completed {
		return
	}
	self := s.mesh.Self()
	owned, completed := map[string]bool{}, true
	for _, entry := range snapshot.Owners.Owners {
		if entry.VM == self.VM && entry.Incarnation == self.Incarnation {
			owned[entry.Organisation] = true
			completed = s.updateOwner(snapshot, entry) && completed
		}
	}
	for organisation, owner := range s.byOrganisation {
		if !owned[organisation] {
			delete(s.byOrganisation, organisation)
			delete(s.selected, organisation)
			s.handOver(snapshot, organisation, owner)
		}
	}
	if len(s.byOrganisation) == 0 {
		clear(s.holderInfos)
	}
	if completed {
		s.completed = snapshot
	}
}

// updateOwner starts the owner of a term once this node has the previous owner's
// handover or the term is accepted on every node that may serve. It tells the owner
// when the proofs of earlier terms have expired. It returns whether nothing is left
// to do. The caller holds the mutex.
func (s *owners) updateOwner(snapshot *config.Snapshot, entry config.Owner) bool {
	org := snapshot.Organisation(entry.Organisation)
	if org == nil {
		return true
	}
	now, owner := s.clock.Now(), s.byOrganisation[entry.Organisation]
	if owner == nil || owner.Term() != entry.Term {
		if owner = s.startOwner(now, snapshot, entry, org); owner == nil {
			return false
		}
		s.byOrganisation[entry.Organisation] = owner
	}
	if s.freshness.ExpiredBefore() >= snapshot.Owners.Revision {
		owner.ExpireUnreported(now)
	}
	return owner.AllReported(now)
}

// startOwner returns the owner of a term if it may start now, and nil otherwise. The
// caller holds the mutex.
func (s *owners) startOwner(now time.Time, snapshot *config.Snapshot, entry config.Owner, org *config.Organisation) *quota.Owner {
	if !s.config.Fresh() {
		return nil
	}
	handover, handedOver := s.handovers[entry.Organisation]
	handedOver = handedOver && handover.Term+1 == entry.Term
	if !handedOver && s.config.Accepted() < snapshot.Owners.Revision {
		return nil
	}
	delete(s.handovers, entry.Organisation)
	s.log.WithFields(log.Fields{"organisation": entry.Organisation, "term": entry.Term, "handed_over": handedOver}).Info("became owner of the organisation's limit")
	if handedOver {
		return quota.NewOwnerFromHandover(now, handover)
	}
	limit := quota.Limit{Rate: org.Rate, Burst: org.Burst}
	return quota.NewOwner(now, entry.Term, limit, s.freshness.ProofBound(org))
}

// owner returns the organisation's owner, with the current limit, if this node is the
// owner now. The caller holds the mutex.
func (s *owners) owner(organisation string) (*quota.Owner, bool) {
	owner := s.byOrganisation[organisation]
	if owner == nil || !s.config.Fresh() {
		return nil, false
	}
	snapshot := s.config.Snapshot()
	entry, ok := snapshot.Owners.Owner(organisation)
	self := s.mesh.Self()
	if !ok || entry.VM != self.VM || entry.Incarnation != self.Incarnation || entry.Term != owner.Term() {
		return nil, false
	}
	limit, ok := limitOf(snapshot, organisation)
	if !ok {
		return nil, false
	}
	owner.SetLimit(s.clock.Now(), limit)
	owner.SetProofValidity(s.freshness.ProofBound(snapshot.Organisation(organisation)))
	return owner, true
}

// serveAsk answers an Ask from another node.
func (s *owners) serveAsk(_ context.Context, from mesh.Identity, message askMessage) (answerMessage, error) {
	return s.answer(from, message)
}

// answer answers an Ask from this or another node.
func (s *owners) answer(from mesh.Identity, message askMessage) (answerMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, ask := holderOf(from), message.Ask
	s.holderInfos[holder] = holderInfo{identity: from, address: message.Address, lastAsk: s.clock.Now()}
	owner, ok := s.owner(ask.Organisation)
	if !ok {
		return answerMessage{}, errNotOwner
	}
	selected := s.selectPeers(ask.Organisation, owner)
	owner.SetArbiters(selected.arbiters)
	if s.config.Snapshot().Organisation(ask.Organisation).ServeWhenCutOff > 0 {
		// In a region that is cut off, the arbiters may be unreachable too.
		owner.SetArbiters(nil)
	}
	answer, recalls, err := owner.Handle(s.clock.Now(), holder, ask)
	if err != nil {
		return answerMessage{}, err
	}
	s.metrics.granted.WithLabelValues(s.metrics.label(ask.Organisation)).Add(answer.Tokens)
	for _, id := range recalls {
		go s.recall(id, quota.Recall{Organisation: ask.Organisation, Term: ask.Term})
	}
	return answerMessage{Answer: answer, Lenders: selected.lenders, Arbiter: s.holderInfos[answer.Arbiter].address}, nil
}

// recall asks a holder to return what it can spare.
func (s *owners) recall(id quota.HolderID, recall quota.Recall) {
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	if id.VM == s.mesh.Self().VM {
		_, _ = s.holders.serveRecall(ctx, s.mesh.Self(), recall)
		return
	}
	s.mu.Lock()
	info, ok := s.holderInfos[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	var answer emptyMessage
	err := s.mesh.Exchange(ctx, mesh.Peer{VM: id.VM, Address: info.address}, mesh.KindQuotaRecall, recall, &answer)
	if err != nil {
		s.log.WithError(err).WithField("holder", id.VM).Debug("cannot recall tokens from the holder")
	}
}
