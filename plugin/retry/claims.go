package retry

import (
	"context"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/retry"
	"github.com/mangomast/mangomast/routing"
)

const (
	// claimTimeout bounds the wait for a claim's home; claimPause is the time
	// between two tries.
	claimTimeout = 250 * time.Millisecond
	claimPause   = 20 * time.Millisecond
)

// claimMessage asks the home of a claim for a send, or settles one.
type claimMessage struct {
	Claim   retry.Claim `cbor:"1,keyasint"`
	Retries int         `cbor:"2,keyasint,omitempty"`
	// Settlement is nil in a message that asks.
	Settlement *retry.Settlement `cbor:"3,keyasint,omitempty"`
}

// Send is one send of a caller's request.
type Send struct {
	retry.Grant
	// Reached is false if the home of the claim did not answer.
	Reached bool

	module  *Module
	message claimMessage
	// home is where the request's budget is kept; it is zero if that is this
	// node.
	home membership.Entry
}

// Begin asks for a send of a caller's request. All nodes of a region, and of
// all regions if the claim's ID names one, ask the same VM of the service, the
// home of the claim; Reached is false, and the send
// not allowed, if that does not answer. End must follow an allowed send.
func (m *Module) Begin(ctx context.Context, service string, claim retry.Claim, retries int) *Send {
	s := &Send{Reached: true, module: m, message: claimMessage{Claim: claim, Retries: retries}}
	home, ok := m.home(service, claim)
	if !ok || home.VM == m.mesh.Self().VM {
		s.Grant = m.requests.Begin(claim, retries, m.clock.Now())
		return s
	}
	s.home = home
	s.Reached = s.exchange(ctx, &s.Grant)
	return s
}

// exchange sends the message to the home until it answers. A wish to send that
// is repeated may take two units, which only makes the budget smaller; a
// settlement counts once.
func (s *Send) exchange(ctx context.Context, grant *retry.Grant) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		var answer retry.Grant
		err := s.module.mesh.Exchange(ctx, peer(s.home), mesh.KindClaim, s.message, &answer)
		if err == nil {
			*grant = answer
			return true
		}
		select {
		case <-ctx.Done():
			s.module.log.WithError(err).WithField("vm", s.home.VM).Debug("home of a claim did not answer")
			return false
		case <-s.module.clock.After(claimPause):
		}
	}
}

// End settles the send. If the home does not hear of it, the loan stays out.
func (s *Send) End(used int, ran bool) {
	s.message.Settlement = &retry.Settlement{Number: s.Number, Used: used, Ran: ran}
	if s.home.VM == "" {
		s.module.requests.End(s.message.Claim, *s.message.Settlement)
		return
	}
	var grant retry.Grant
	s.exchange(context.Background(), &grant)
}

// serveClaim answers other nodes for the claims whose home is here.
func (m *Module) serveClaim(_ context.Context, _ mesh.Identity, message claimMessage) (retry.Grant, error) {
	if message.Settlement != nil {
		m.requests.End(message.Claim, *message.Settlement)
		return retry.Grant{}, nil
	}
	return m.requests.Begin(message.Claim, message.Retries, m.clock.Now()), nil
}

// home returns the VM that keeps the budget of a claim: the one that ranks
// highest among the service's VMs in the region that the claim's ID names, or
// in this region, or in all regions, whichever has VMs of the service.
func (m *Module) home(service string, claim retry.Claim) (membership.Entry, bool) {
	all := m.members.View().Service(service)
	candidates := inRegion(all, retry.RegionOf(claim.ID))
	if len(candidates) == 0 {
		candidates = inRegion(all, m.region)
	}
	if len(candidates) == 0 {
		candidates = all
	}
	highest := routing.Subset(claim.Organisation+" "+claim.Route+" "+claim.ID, candidates, 1)
	if len(highest) == 0 {
		return membership.Entry{}, false
	}
	return highest[0], true
}

func inRegion(entries []membership.Entry, region string) []membership.Entry {
	var inside []membership.Entry
	for _, entry := range entries {
		if entry.Region == region {
			inside = append(inside, entry)
		}
	}
	return inside
}

func peer(entry membership.Entry) mesh.Peer {
	return mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
}
