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
	// handOverTries bounds how often a book is sent, each for handOverTimeout.
	handOverTries   = 4
	handOverTimeout = 300 * time.Millisecond
	handOverPause   = 50 * time.Millisecond
)

// handOver closes the book of an owner that the snapshot no longer names and
// sends it to the next one. The caller holds the mutex.
func (s *owners) handOver(snapshot *config.Snapshot, organisation string, owner *quota.Owner) {
	next, ok := snapshot.Owners.Owner(organisation)
	if !ok || next.Term != owner.Term()+1 {
		return
	}
	s.handing++
	go s.sendBook(next, owner.HandOver(s.clock.Now(), organisation))
}

// sendBook sends a book until it is taken. One that is not is of no use, but
// does no harm: the next owner waits until the shares must have expired.
func (s *owners) sendBook(next config.Owner, book quota.Book) {
	fields := s.log.WithField("organisation", book.Organisation).WithField("owner", next.VM)
	for range handOverTries {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		var answer nothing
		err := s.mesh.Exchange(ctx, mesh.Peer{VM: next.VM, Address: next.Address}, mesh.KindQuotaBook, book, &answer)
		cancel()
		if err == nil {
			fields.Info("handed over the organisation's rate")
			break
		}
		fields.WithError(err).Debug("the next owner did not take the book")
		s.clock.Sleep(handOverPause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handing--
}

// serveBook keeps a book for the term after it. A book for a term that has
// begun already is not used.
func (s *owners) serveBook(_ context.Context, _ mesh.Identity, book quota.Book) (nothing, error) {
	s.mu.Lock()
	if book.Term >= s.books[book.Organisation].Term {
		s.books[book.Organisation] = book
	}
	s.mu.Unlock()
	s.refresh()
	return nothing{}, nil
}

// awaitHandOver waits until this node owns nothing and its books have arrived,
// if there is a node that may own after it.
func (s *owners) awaitHandOver(ctx context.Context) {
	for s.owns() && s.hasSuccessor() {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(tickInterval):
		}
	}
}

// hasSuccessor reports whether this node knows of another one that may own.
// Nodes that are no relay do not know the whole fleet.
func (s *owners) hasSuccessor() bool {
	view, self := s.members.View(), s.mesh.Self().VM
	others := slices.DeleteFunc(candidatesOf(view), func(c quota.Candidate) bool { return c.VM == self })
	return len(others) > 0 || !view.Complete()
}

func (s *owners) owns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handing > 0 || len(s.byOrganisation) > 0
}
