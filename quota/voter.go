package quota

import "time"

const (
	// VoteTTL is how long a vote is valid, measured by the candidate from when it sent
	// the claim. It bounds how long the pool of a lost node is missing.
	VoteTTL = 2 * time.Second
	// voteMargin is added by the voter, to allow for the drift of both clocks.
	voteMargin = 250 * time.Millisecond
)

// Host is a node that runs pools, with its mesh address.
type Host struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Address     string `cbor:"3,keyasint"`
}

// same reports whether both are the same process.
func (h Host) same(other Host) bool { return h.VM == other.VM && h.Incarnation == other.Incarnation }

// Yield is a host's statement that it no longer grants anything of an organisation by
// votes of this or an earlier epoch.
type Yield struct {
	Host  Host   `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// Claim asks a voter for its vote: the right to run an organisation's pool.
type Claim struct {
	Organisation string `cbor:"1,keyasint"`
	// Epoch grows each time the candidate gives up its votes.
	Epoch uint64 `cbor:"2,keyasint"`
	// Former is the statement of the host that has the vote, if the candidate has one.
	Former Yield `cbor:"3,keyasint,omitzero"`
}

// Verdict is the answer to a Claim. Holder is the host that has the vote or is awaited
// instead of the candidate.
type Verdict struct {
	Granted bool `cbor:"1,keyasint"`
	Holder  Host `cbor:"2,keyasint,omitzero"`
}

// Voter gives its vote for each organisation to one host at a time, so that nodes with
// different member lists do not both run the organisation's whole pool. It is not safe
// for concurrent use.
type Voter struct {
	outranks func(organisation, a, b string) bool
	votes    map[string]*vote
}

// vote is an organisation's vote. A claimant outranks the holder and gets the vote once
// it expires.
type vote struct {
	holder     Host
	epoch      uint64
	until      time.Time
	claimant   Host
	claimUntil time.Time
}

// NewVoter returns a voter that has given no votes. outranks reports whether the VM a is
// preferred to the VM b for an organisation's pool.
func NewVoter(outranks func(organisation, a, b string) bool) *Voter {
	return &Voter{outranks: outranks, votes: map[string]*vote{}}
}

// Vote decides on the claim of a candidate.
func (v *Voter) Vote(now time.Time, from Host, claim Claim) Verdict {
	held := v.votes[claim.Organisation]
	if held == nil {
		held = &vote{}
		v.votes[claim.Organisation] = held
	}
	if now.Before(held.until) && !held.passesTo(from, claim) {
		v.addClaimant(now, held, from, claim.Organisation)
		return Verdict{Holder: held.holder}
	}
	if now.Before(held.claimUntil) && held.claimant.VM != from.VM && v.outranks(claim.Organisation, held.claimant.VM, from.VM) {
		return Verdict{Holder: held.claimant}
	}
	*held = vote{holder: from, epoch: claim.Epoch, until: now.Add(VoteTTL + voteMargin)}
	return Verdict{Granted: true, Holder: from}
}

// passesTo reports whether the candidate may take over the unexpired vote: as its holder,
// as the holder's next process, or after the holder yielded.
func (h *vote) passesTo(from Host, claim Claim) bool {
	if h.holder.VM == from.VM {
		return from.Incarnation > h.holder.Incarnation || from.same(h.holder) && claim.Epoch >= h.epoch
	}
	return claim.Former.Host.same(h.holder) && claim.Former.Epoch >= h.epoch
}

// addClaimant records the candidate if it is preferred to the holder and to the recorded
// claimant.
func (v *Voter) addClaimant(now time.Time, held *vote, from Host, organisation string) {
	if !v.outranks(organisation, from.VM, held.holder.VM) {
		return
	}
	if now.Before(held.claimUntil) && held.claimant.VM != from.VM && v.outranks(organisation, held.claimant.VM, from.VM) {
		return
	}
	held.claimant, held.claimUntil = from, now.Add(VoteTTL)
}

// Purge removes the votes and claims that have expired.
func (v *Voter) Purge(now time.Time) {
	for organisation, held := range v.votes {
		if !now.Before(held.until) && !now.Before(held.claimUntil) {
			delete(v.votes, organisation)
		}
	}
}
