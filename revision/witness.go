package revision

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// WitnessName is the witness table's name in the stream.
const WitnessName = "witnesses"

// weightUnit is the factor applied to a failure domain's weight, so that it can
// be divided evenly among one, two or three witnesses.
const weightUnit = 6

// Witness is a node incarnation that attests the revision it holds. A restarted
// node has lost its acknowledgements, so it is a witness again only once the
// table lists its new incarnation.
type Witness struct {
	FailureDomain string `json:"failure_domain"`
	VM            string `json:"vm"`
	Incarnation   uint64 `json:"incarnation"`
	Weight        int    `json:"weight"`
	// MeshAddress is the IP:port that the incarnation listens on. Two processes
	// cannot listen on the same address, so a later incarnation at this address
	// proves that this one has ended.
	MeshAddress string `json:"mesh_address,omitempty"`
}

// WitnessTable lists the witnesses. It is part of the stream. Until its own
// revision is accepted, a quorum requires majorities of both sets.
type WitnessTable struct {
	Current  []Witness `json:"current"`
	Previous []Witness `json:"previous,omitempty"`
}

// ParseWitnesses decodes the table's value. An empty value yields an empty table.
func ParseWitnesses(data []byte) (*WitnessTable, error) {
	table := &WitnessTable{}
	if len(data) == 0 {
		return table, nil
	}
	return table, errors.Wrap(json.Unmarshal(data, table), "decode witness table")
}

// Quorum reports whether the witnesses for which has returns true form a
// majority by weight. While the table's own revision is not accepted, which
// tableAccepted reports, they must also form a majority of the previous
// witnesses.
func (t *WitnessTable) Quorum(tableAccepted bool, has func(Witness) bool) bool {
	if !majority(t.Current, has) {
		return false
	}
	return tableAccepted || len(t.Previous) == 0 || majority(t.Previous, has)
}

func majority(set []Witness, has func(Witness) bool) bool {
	total, sum := 0, 0
	for _, w := range set {
		total += w.Weight
		if has(w) {
			sum += w.Weight
		}
	}
	return 2*sum > total
}

// WitnessWeight returns the weight of each of count witnesses of a failure
// domain.
func WitnessWeight(domainWeight, count int) int {
	return max(1, domainWeight) * weightUnit / max(1, count)
}

// Replace returns a table in which the witnesses of a failure domain are
// replaced and the other domains for which retain returns false are removed. It
// returns false if nothing would change.
func (t *WitnessTable) Replace(domain string, witnesses []Witness, retain func(domain string) bool) (*WitnessTable, bool) {
	var current []Witness
	for _, w := range t.Current {
		if w.FailureDomain != domain && retain(w.FailureDomain) {
			current = append(current, w)
		}
	}
	current = append(current, witnesses...)
	slices.SortFunc(current, func(a, b Witness) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.VM, b.VM))
	})
	if slices.Equal(current, t.Current) {
		return t, false
	}
	return &WitnessTable{Current: current, Previous: t.Current}, true
}

// Domain returns the current witnesses of a failure domain.
func (t *WitnessTable) Domain(domain string) []Witness {
	var found []Witness
	for _, w := range t.Current {
		if w.FailureDomain == domain {
			found = append(found, w)
		}
	}
	return found
}

// All returns the current and previous witnesses; it may contain duplicates.
func (t *WitnessTable) All() []Witness { return append(slices.Clone(t.Current), t.Previous...) }

// Names returns the VMs of the current and previous witnesses for which match
// returns true, sorted and without duplicates.
func (t *WitnessTable) Names(match func(Witness) bool) []string {
	var names []string
	for _, w := range t.All() {
		if match(w) {
			names = append(names, w.VM)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// incarnation identifies one process lifetime of a node.
type incarnation struct {
	vm     string
	number uint64
}

type attestation struct {
	revision int64
	at       time.Time
}

// Attestations holds the latest attestation of each node incarnation: the
// revision that it held and when.
type Attestations struct {
	latest map[incarnation]attestation
}

// NewAttestations returns an empty set.
func NewAttestations() *Attestations {
	return &Attestations{latest: map[incarnation]attestation{}}
}

// Record records that a node attested the revision in answer to a request that
// was sent at sentAt. An attestation of an earlier revision than the known one,
// or an older one of the same revision, is ignored.
func (a *Attestations) Record(vm string, number uint64, revision int64, sentAt time.Time) {
	key := incarnation{vm: vm, number: number}
	known, ok := a.latest[key]
	if ok && (known.revision > revision || known.revision == revision && known.at.After(sentAt)) {
		return
	}
	a.latest[key] = attestation{revision: revision, at: sentAt}
}

// Attested is a witness's attestation as forwarded by another node.
type Attested struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Revision    int64  `cbor:"3,keyasint"`
	// Age is the time since the request was sent that the witness answered.
	Age time.Duration `cbor:"4,keyasint"`
}

// Attested returns the latest attestations of the witnesses for which match
// returns true, without duplicates.
func (a *Attestations) Attested(t *WitnessTable, match func(Witness) bool, now time.Time) []Attested {
	var all []Attested
	for _, w := range t.All() {
		last := a.latestOf(w)
		duplicate := slices.ContainsFunc(all, func(s Attested) bool { return s.VM == w.VM && s.Incarnation == w.Incarnation })
		if last.at.IsZero() || duplicate || !match(w) {
			continue
		}
		all = append(all, Attested{VM: w.VM, Incarnation: w.Incarnation, Revision: last.revision, Age: now.Sub(last.at)})
	}
	return all
}

// MergeForwarded records the attestations that another node forwarded in answer
// to a request sent at sentAt. Their ages were measured after that time, so an
// attestation can only appear older than it is.
func (a *Attestations) MergeForwarded(all []Attested, sentAt time.Time) {
	for _, s := range all {
		a.Record(s.VM, s.Incarnation, s.Revision, sentAt.Add(-max(0, s.Age)))
	}
}

// AttestedSince reports whether a witness's latest attestation is not older than
// the given time.
func (a *Attestations) AttestedSince(w Witness, since time.Time) bool {
	return !a.latestOf(w).at.Before(since)
}

// Forget deletes the attestations from before the given time.
func (a *Attestations) Forget(before time.Time) {
	for key, last := range a.latest {
		if last.at.Before(before) {
			delete(a.latest, key)
		}
	}
}

func (a *Attestations) latestOf(w Witness) attestation {
	return a.latest[incarnation{vm: w.VM, number: w.Incarnation}]
}

// Acknowledged reports whether a majority of the witnesses holds the revision or
// a later one. A witness that has ended counts as holding it: it can no longer
// attest an earlier revision, and its previous attestations are older than the
// acknowledgement. With an empty table it returns true, because there is no
// majority to wait for.
func (a *Attestations) Acknowledged(t *WitnessTable, tableAccepted bool, revision int64, ended func(Witness) bool) bool {
	if len(t.Current) == 0 {
		return true
	}
	return t.Quorum(tableAccepted, func(w Witness) bool { return a.latestOf(w).revision >= revision || ended(w) })
}

// Proof returns the latest time at or after which a majority of the witnesses
// attested exactly the revision; ok is false if there is no such majority.
func (a *Attestations) Proof(t *WitnessTable, tableAccepted bool, revision int64) (at time.Time, ok bool) {
	var times []time.Time
	for _, w := range t.All() {
		if last := a.latestOf(w); last.revision == revision && !last.at.IsZero() {
			times = append(times, last.at)
		}
	}
	slices.SortFunc(times, func(x, y time.Time) int { return y.Compare(x) })
	for _, since := range times {
		attested := func(w Witness) bool {
			last := a.latestOf(w)
			return last.revision == revision && !last.at.Before(since)
		}
		if t.Quorum(tableAccepted, attested) {
			return since, true
		}
	}
	return time.Time{}, false
}
