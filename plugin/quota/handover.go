package quota

import (
	"context"
	"slices"
	"time"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

const (
	// handOverAttempts bounds how often a handover is sent. Each attempt times out
	// after handOverTimeout, and handOverPause follows it.
	handOverAttempts = 4
	handOverTimeout  = 300 * time.Millisecond
	handOverPause    = 50 * time.Millisecond
)

// handOver closes an owner that another one has replaced in the snapshot, and sends
// its state to the next owner. It does nothing unless the next term directly follows
// the owner's. The caller holds the mutex.
func (s *owners) handOver(snapshot *config.Snapshot, organisation string, owner *quota.Owner) {
	next, ok := snapshot.Owners.Owner(organisation)
	if !ok || next.Term != owner.Term()+1 {
		return
	}
	s.handoversInFlight++
	go s.sendHandover(next, owner.HandOver(s.clock.Now(), organisation))
}

// sendHandover sends a handover until it is acknowledged or the attempts are used up.
// If it never arrives, no limit is exceeded: the next owner waits until the shares
// must have expired.
func (s *owners) sendHandover(next config.Owner, handover quota.HandoverState) {
	logger := s.log.WithField("organisation", handover.Organisation).WithField("owner", next.VM)
	for range handOverAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		var answer emptyMessage
		err := s.mesh.Exchange(ctx, mesh.Peer{VM: next.VM, Address: next.Address}, mesh.KindQuotaHandover, handover, &answer)
		cancel()
		if err == nil {
			logger.Info("handed over the organisation's limit to the next owner")
			break
		}
		logger.WithError(err).Debug("cannot send the handover state to the next owner")
		s.clock.Sleep(handOverPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handoversInFlight--
}

// serveHandover stores a handover for the owner of the next term. It has no effect if
// that owner has already started.
func (s *owners) serveHandover(_ context.Context, _ mesh.Identity, handover quota.HandoverState) (emptyMessage, error) {
	s.mu.Lock()
	if handover.Term >= s.handovers[handover.Organisation].Term {
		s.handovers[handover.Organisation] = handover
	}
	s.mu.Unlock()
	s.refresh()
	return emptyMessage{}, nil
}

// awaitHandOver waits until this node owns nothing and has sent its handovers, provided
// that another node can take over.
func (s *owners) awaitHandOver(ctx context.Context) {
	for s.ownsAny() && s.hasSuccessor() {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(tickInterval):
		}
	}
}

// hasSuccessor reports whether this node knows another node that may be an owner.
// It assumes so on nodes that are not relays, as they do not know all members.
func (s *owners) hasSuccessor() bool {
	view, self := s.members.View(), s.mesh.Self().VM
	others := slices.DeleteFunc(candidatesOf(view), func(c quota.Candidate) bool { return c.VM == self })
	return len(others) > 0 || !view.Complete()
}

func (s *owners) ownsAny() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handoversInFlight > 0 || len(s.byOrganisation) > 0
}
