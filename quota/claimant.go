package quota

import "time"

const (
	// renewInterval is the time between two claims of a vote that is held: one may be
	// lost before the vote expires.
	renewInterval = 900 * time.Millisecond
	// claimInterval is the time between two claims of a vote that is not held, and
	// between two requests to yield.
	claimInterval = 250 * time.Millisecond
	// claimSlack is how much earlier a claim is sent together with others.
	claimSlack = 250 * time.Millisecond
	// fullVotes is the fraction of the votes from which a host may grant all of a
	// limit; with less than 1-fullVotes it grants nothing. The parts of two hosts add
	// up to no more than the limit.
	fullVotes = 0.75
	// spareVotes is the number of votes that two member lists may differ by without
	// the parts of two hosts adding up to more than the limit, and spareFraction the
	// most that they are of all votes.
	spareVotes    = 2
	spareFraction = 0.125
)

// Claimant claims votes for the organisations whose pools a node has to run, and tells
// which part of each limit it may grant. A host that gains a pool asks the host that
// holds the votes to yield; one that cannot be asked stops when its votes expire. The
// package's load is a pool that moves while an organisation is above its rate and nodes
// disagree on the member list. It is not safe for concurrent use.
type Claimant struct {
	self    Host
	epoch   uint64
	tenures map[string]*tenure
}

// tenure has the votes that a host holds for one organisation, by the voter's VM.
type tenure struct {
	epoch  uint64
	voters map[string]*voterRecord
	// yields has the statements of former hosts, by VM.
	yields       map[string]Yield
	yieldAskedAt map[Host]time.Time
}

// voterRecord is what a candidate knows of a voter.
type voterRecord struct {
	// validUntil is when the vote expires; zero if it was never given.
	validUntil time.Time
	nextClaim  time.Time
	holder     Host
}

// NewClaimant returns a candidate without votes.
func NewClaimant(self Host) *Claimant {
	return &Claimant{self: self, tenures: map[string]*tenure{}}
}

// Claims returns the claims that are due, by the voter's VM, for the organisations whose
// pools this node has to run. Claims to the same voter are sent together.
func (c *Claimant) Claims(now time.Time, organisations, voters []string) map[string][]Claim {
	claims := map[string][]Claim{}
	for _, voter := range voters {
		if !c.anyDue(now, organisations, voter) {
			continue
		}
		for _, organisation := range organisations {
			t := c.tenure(organisation)
			record := t.voter(voter)
			if record.nextClaim.After(now.Add(claimSlack)) {
				continue
			}
			record.nextClaim = now.Add(claimInterval)
			claims[voter] = append(claims[voter], Claim{
				Organisation: organisation, Epoch: t.epoch, Former: t.yields[record.holder.VM],
			})
		}
	}
	return claims
}

func (c *Claimant) anyDue(now time.Time, organisations []string, voter string) bool {
	for _, organisation := range organisations {
		if !c.tenure(organisation).voter(voter).nextClaim.After(now) {
			return true
		}
	}
	return false
}

func (c *Claimant) tenure(organisation string) *tenure {
	t := c.tenures[organisation]
	if t == nil {
		t = &tenure{epoch: c.epoch, voters: map[string]*voterRecord{}, yields: map[string]Yield{}, yieldAskedAt: map[Host]time.Time{}}
		c.tenures[organisation] = t
	}
	return t
}

func (t *tenure) voter(vm string) *voterRecord {
	record := t.voters[vm]
	if record == nil {
		record = &voterRecord{}
		t.voters[vm] = record
	}
	return record
}

// ApplyVerdict applies a voter's answer to a claim sent at the time sent. It is ignored if
// the votes were given up since.
func (c *Claimant) ApplyVerdict(voter string, claim Claim, verdict Verdict, sent time.Time) {
	t := c.tenures[claim.Organisation]
	if t == nil || t.epoch != claim.Epoch {
		return
	}
	record := t.voter(voter)
	record.holder = verdict.Holder
	if !verdict.Granted && verdict.Holder.same(claim.Former.Host) {
		delete(t.yields, verdict.Holder.VM)
	}
	if verdict.Granted {
		record.validUntil = laterOf(record.validUntil, sent.Add(VoteTTL))
		record.nextClaim = sent.Add(renewInterval)
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Part returns the fraction of the organisation's pool that this node may grant now,
// where the votes of the voters count.
func (c *Claimant) Part(now time.Time, organisation string, voters []string) float64 {
	t := c.tenures[organisation]
	if t == nil {
		return 0
	}
	votes := 0
	for _, voter := range voters {
		if record := t.voters[voter]; record != nil && now.Before(record.validUntil) {
			votes++
		}
	}
	return part(votes, len(voters))
}

// part returns the fraction of a limit for so many of all votes.
func part(votes, all int) float64 {
	if all == 0 {
		return 0
	}
	spare := min(spareVotes, spareFraction*float64(all))
	steep := 1 / (2*fullVotes - 1)
	excess := (float64(votes)-spare/2)/float64(all) - (1 - fullVotes)
	return max(0, min(1, steep*excess))
}

// YieldRequests returns the hosts that are to be asked to yield the organisation now.
func (c *Claimant) YieldRequests(now time.Time, organisation string) (hosts []Host) {
	t := c.tenures[organisation]
	if t == nil {
		return nil
	}
	for _, record := range t.voters {
		holder := record.holder
		if holder.VM == "" || holder.VM == c.self.VM || t.yields[holder.VM].Host.same(holder) {
			continue
		}
		if now.Sub(t.yieldAskedAt[holder]) >= claimInterval {
			t.yieldAskedAt[holder] = now
			hosts = append(hosts, holder)
		}
	}
	return hosts
}

// ApplyYield records that a former host has yielded the organisation. The votes that it
// held are claimed at once.
func (c *Claimant) ApplyYield(now time.Time, organisation string, yield Yield) {
	t := c.tenures[organisation]
	if t == nil {
		return
	}
	t.yields[yield.Host.VM] = yield
	for _, record := range t.voters {
		if record.holder.same(yield.Host) {
			record.nextClaim = now
		}
	}
}

// Incumbent returns another host that holds votes for the organisation, if one is known.
func (c *Claimant) Incumbent(organisation string) (Host, bool) {
	t := c.tenures[organisation]
	if t == nil {
		return Host{}, false
	}
	for _, record := range t.voters {
		if holder := record.holder; holder.VM != "" && holder.VM != c.self.VM {
			return holder, true
		}
	}
	return Host{}, false
}

// GiveUp gives up all votes for the organisation. The node must grant nothing more by
// them.
func (c *Claimant) GiveUp(organisation string) Yield {
	delete(c.tenures, organisation)
	yield := Yield{Host: c.self, Epoch: c.epoch}
	c.epoch++
	return yield
}

// Tenures returns the organisations for which this node has claimed votes.
func (c *Claimant) Tenures() []string {
	organisations := make([]string, 0, len(c.tenures))
	for organisation := range c.tenures {
		organisations = append(organisations, organisation)
	}
	return organisations
}
