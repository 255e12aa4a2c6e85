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

// owners are the organisations that this node grants shares of.
type owners struct {
	*Module
	mu             sync.Mutex
	byOrganisation map[string]*quota.Owner
	// askers are the holders that asked.
	askers map[quota.HolderID]asker
	// settled is the snapshot that needs no further look.
	settled *config.Snapshot
	// books are those handed over for terms that this node does not know yet,
	// by organisation.
	books map[string]quota.Book
	// handing counts the books on their way to other owners.
	handing int
	// named are the holders named to others, by organisation.
	named map[string]namedHolders
}

// asker is a holder that asked.
type asker struct {
	identity mesh.Identity
	// address is the node's mesh address.
	address string
	at      time.Time
}

// holderOf names the holder of a node.
func holderOf(node mesh.Identity) quota.HolderID {
	return quota.HolderID{VM: node.VM, Incarnation: node.Incarnation}
}

// run takes up organisations as soon as their term is accepted, and drops
// those that another node owns.
func (s *owners) run(ctx context.Context) error {
	return kernel.Every(ctx, s.clock, termInterval, func(context.Context) {
		s.refresh()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closeOverdue()
	})
}

func (s *owners) refresh() {
	snapshot := s.config.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot == nil || snapshot.Owners == nil || snapshot == s.settled {
		return
	}
	self := s.mesh.Self()
	mine, settled := map[string]bool{}, true
	for _, entry := range snapshot.Owners.Owners {
		if entry.VM == self.VM && entry.Incarnation == self.Incarnation {
			mine[entry.Organisation] = true
			settled = s.take(snapshot, entry) && settled
		}
	}
	for organisation, owner := range s.byOrganisation {
		if !mine[organisation] {
			delete(s.byOrganisation, organisation)
			delete(s.named, organisation)
			s.handOver(snapshot, organisation, owner)
		}
	}
	if len(s.byOrganisation) == 0 {
		clear(s.askers)
	}
	if settled {
		s.settled = snapshot
	}
}

// take begins a term once it has its predecessor's book or is accepted on every
// node that may serve, and tells its owner when the proofs of earlier terms have
// run out. It returns whether there is no more to do. The caller holds the mutex.
func (s *owners) take(snapshot *config.Snapshot, entry config.Owner) bool {
	org := snapshot.Organisation(entry.Organisation)
	if org == nil {
		return true
	}
	now, owner := s.clock.Now(), s.byOrganisation[entry.Organisation]
	if owner == nil || owner.Term() != entry.Term {
		if owner = s.begin(now, snapshot, entry, org); owner == nil {
			return false
		}
		s.byOrganisation[entry.Organisation] = owner
	}
	if s.freshness.Lapsed() >= snapshot.Owners.Revision {
		owner.Supersede(now)
	}
	return owner.Settled(now)
}

// begin returns the owner of a term that may begin now; nil if it may not. The
// caller holds the mutex.
func (s *owners) begin(now time.Time, snapshot *config.Snapshot, entry config.Owner, org *config.Organisation) *quota.Owner {
	if !s.config.Fresh() {
		return nil
	}
	book, handed := s.books[entry.Organisation]
	handed = handed && book.Term+1 == entry.Term
	if !handed && s.config.Accepted() < snapshot.Owners.Revision {
		return nil
	}
	delete(s.books, entry.Organisation)
	s.log.WithFields(log.Fields{"organisation": entry.Organisation, "term": entry.Term, "handed_over": handed}).Info("owns the organisation's rate")
	if handed {
		return quota.NewOwnerFromBook(now, book)
	}
	limit := quota.Limit{Rate: org.Rate, Burst: org.Burst}
	return quota.NewOwner(now, entry.Term, limit, s.freshness.ProofBound(org))
}

// owner returns the organisation's owner if this node is it at this moment.
// The caller holds the mutex.
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
	owner.SetProof(s.freshness.ProofBound(snapshot.Organisation(organisation)))
	return owner, true
}

// serveAsk answers another node's holder.
func (s *owners) serveAsk(_ context.Context, from mesh.Identity, message askMessage) (answerMessage, error) {
	return s.answer(from, message)
}

// answer answers a holder.
func (s *owners) answer(from mesh.Identity, message askMessage) (answerMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holder, ask := holderOf(from), message.Ask
	s.askers[holder] = asker{identity: from, address: message.Address, at: s.clock.Now()}
	owner, ok := s.owner(ask.Organisation)
	if !ok {
		return answerMessage{}, errNotOwner
	}
	named := s.name(ask.Organisation, owner)
	owner.NameArbiters(named.arbiters)
	if s.config.Snapshot().Organisation(ask.Organisation).ServeWhenCutOff > 0 {
		// A region that is cut off may hear no arbiter either.
		owner.NameArbiters(nil)
	}
	answer, recalls, err := owner.Handle(s.clock.Now(), holder, ask)
	if err != nil {
		return answerMessage{}, err
	}
	s.metrics.granted.WithLabelValues(s.metrics.label(ask.Organisation)).Add(answer.Tokens)
	for _, id := range recalls {
		go s.recall(id, quota.Recall{Organisation: ask.Organisation, Term: ask.Term})
	}
	return answerMessage{Answer: answer, Lenders: named.lenders, Arbiter: s.askers[answer.Arbiter].address}, nil
}

// recall asks a holder for what it can spare.
func (s *owners) recall(id quota.HolderID, recall quota.Recall) {
	ctx, cancel := context.WithTimeout(context.Background(), recallTimeout)
	defer cancel()
	if id.VM == s.mesh.Self().VM {
		_, _ = s.holders.serveRecall(ctx, s.mesh.Self(), recall)
		return
	}
	s.mu.Lock()
	holder, ok := s.askers[id]
	s.mu.Unlock()
	if !ok {
		return
	}
	var answer nothing
	err := s.mesh.Exchange(ctx, mesh.Peer{VM: id.VM, Address: holder.address}, mesh.KindQuotaRecall, recall, &answer)
	if err != nil {
		s.log.WithError(err).WithField("holder", id.VM).Debug("holder did not answer a recall")
	}
}
