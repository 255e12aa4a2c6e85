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
	// claimTimeout is the time limit for an exchange with a claim's owner;
	// claimRetryInterval is the time between two attempts.
	claimTimeout       = 250 * time.Millisecond
	claimRetryInterval = 20 * time.Millisecond
)

// claimMessage requests a send from the owner of a claim, or settles one.
type claimMessage struct {
	Claim   retry.Claim `cbor:"1,keyasint"`
	Retries int         `cbor:"2,keyasint,omitempty"`
	// Settlement is nil in a message that requests a send.
	Settlement *retry.Settlement `cbor:"3,keyasint,omitempty"`
}

// Send is one send of a caller's request.
type Send struct {
	retry.Grant
	// Reached is false if the owner of the claim did not reply.
	Reached bool

	module  *Module
	message claimMessage
	// owner is the VM that holds the request's retry budget; it is zero if that
	// is this node.
	owner membership.Entry
}

// Begin requests a send of a caller's request. All nodes of a region, or of all
// regions if the claim's ID names one, ask the same VM of the service, the
// owner of the claim. If it does not answer, Reached is false and the send is
// not allowed. End must follow an allowed send.
func (m *Module) Begin(ctx context.Context, service string, claim retry.Claim, retries int) *Send {
	s := &Send{Reached: true, module: m, message: claimMessage{Claim: claim, Retries: retries}}
	owner, ok := m.owner(service, claim)
	if !ok || owner.VM == m.mesh.Self().VM {
		s.Grant = m.requests.Begin(claim, retries, m.clock.Now())
		return s
	}
	s.owner = owner
	s.Reached = s.exchange(ctx, &s.Grant)
	return s
}

// exchange sends the message to the owner until it answers or claimTimeout
// expires. A repeated request for a send may take two units, which only makes
// the budget smaller; a settlement is idempotent.
func (s *Send) exchange(ctx context.Context, grant *retry.Grant) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		var answer retry.Grant
		err := s.module.mesh.Exchange(ctx, meshPeer(s.owner), mesh.KindClaim, s.message, &answer)
		if err == nil {
			*grant = answer
			return true
		}
		select {
		case <-ctx.Done():
			s.module.log.WithError(err).WithField("vm", s.owner.VM).Debug("no reply from the node that holds the retry budget; a new send is refused, the loan of an ended send stays outstanding")
			return false
		case <-s.module.clock.After(claimRetryInterval):
		}
	}
}

// End settles the send. If the owner does not receive the settlement, the loan
// stays outstanding.
func (s *Send) End(used int, ran bool) {
	s.message.Settlement = &retry.Settlement{Number: s.Number, Used: used, Ran: ran}
	if s.owner.VM == "" {
		s.module.requests.End(s.message.Claim, *s.message.Settlement)
		return
	}
	var grant retry.Grant
	s.exchange(context.Background(), &grant)
}

// serveClaim serves other nodes' messages for the claims that this node owns.
func (m *Module) serveClaim(_ context.Context, _ mesh.Identity, message claimMessage) (retry.Grant, error) {
	if message.Settlement != nil {
		m.requests.End(message.Claim, *message.Settlement)
		return retry.Grant{}, nil
	}
	return m.requests.Begin(message.Claim, message.Retries, m.clock.Now()), nil
}

// owner returns the VM that holds the retry budget of a claim: the one with the
// highest rank among the service's VMs in the region that the claim's ID names,
// else in this region, else in all regions. Regions without VMs of the service
// are skipped.
func (m *Module) owner(service string, claim retry.Claim) (membership.Entry, bool) {
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
	var matching []membership.Entry
	for _, entry := range entries {
		if entry.Region == region {
			matching = append(matching, entry)
		}
	}
	return matching
}

func meshPeer(entry membership.Entry) mesh.Peer {
	return mesh.Peer{VM: entry.VM, Address: entry.MeshAddress}
}
