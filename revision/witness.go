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

// weightUnit is divided among the witnesses of a failure domain, so that one,
// two or three of them share its weight in whole numbers.
const weightUnit = 6

// Witness is a node incarnation that attests the revision it holds. A node
// that was started again has forgotten what it acknowledged, so it is a
// witness only once the table names its new incarnation.
type Witness struct {
	FailureDomain string `json:"failure_domain"`
	VM            string `json:"vm"`
	Incarnation   uint64 `json:"incarnation"`
	Weight        int    `json:"weight"`
	// MeshAddress is the IP:port that the incarnation listens on. Two processes
	// cannot listen on one address, so a later incarnation heard from there
	// proves that this one has ended.
	MeshAddress string `json:"mesh_address,omitempty"`
}

// WitnessTable names the witnesses. It is part of the stream. While its own
// revision is not accepted, majorities of both sets are needed.
type WitnessTable struct {
	Current  []Witness `json:"current"`
	Previous []Witness `json:"previous,omitempty"`
}

// ParseWitnesses decodes the table's value; an empty value is an empty table.
func ParseWitnesses(data []byte) (*WitnessTable, error) {
	table := &WitnessTable{}
	if len(data) == 0 {
		return table, nil
	}
	return table, errors.Wrap(json.Unmarshal(data, table), "decode witness table")
}

// Quorum reports whether the witnesses for which has returns true are a
// majority by weight; settled says that the table's revision was accepted.
func (t *WitnessTable) Quorum(settled bool, has func(Witness) bool) bool {
	if !majority(t.Current, has) {
		return false
	}
	return settled || len(t.Previous) == 0 || majority(t.Previous, has)
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

// Share returns the weight of each of count witnesses of a failure domain.
func Share(domainWeight, count int) int {
	return max(1, domainWeight) * weightUnit / max(1, count)
}

// Replace returns the table in which the witnesses of a failure domain are
// replaced and domains that keep returns false for are left out. It returns
// false if nothing would change.
func (t *WitnessTable) Replace(domain string, witnesses []Witness, keep func(domain string) bool) (*WitnessTable, bool) {
	var current []Witness
	for _, w := range t.Current {
		if w.FailureDomain != domain && keep(w.FailureDomain) {
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

// Domain returns the witnesses of a failure domain.
func (t *WitnessTable) Domain(domain string) []Witness {
	var found []Witness
	for _, w := range t.Current {
		if w.FailureDomain == domain {
			found = append(found, w)
		}
	}
	return found
}

// All returns the witnesses, those of Previous included; some may stand twice.
func (t *WitnessTable) All() []Witness { return append(slices.Clone(t.Current), t.Previous...) }

// Names returns the VMs of the witnesses that keep returns true for, those of
// Previous included.
func (t *WitnessTable) Names(keep func(Witness) bool) []string {
	var names []string
	for _, w := range t.All() {
		if keep(w) {
			names = append(names, w.VM)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// incarnation names one run of a node.
type incarnation struct {
	vm     string
	number uint64
}

type attestation struct {
	revision int64
	at       time.Time
}

// Attestations holds what each node last said that it holds.
type Attestations struct {
	latest map[incarnation]attestation
}

// NewAttestations returns an empty set.
func NewAttestations() *Attestations {
	return &Attestations{latest: map[incarnation]attestation{}}
}

// Note records that a node held the revision when it answered a question that
// was asked at the time.
func (a *Attestations) Note(vm string, number uint64, revision int64, asked time.Time) {
	key := incarnation{vm: vm, number: number}
	known, ok := a.latest[key]
	if ok && (known.revision > revision || known.revision == revision && known.at.After(asked)) {
		return
	}
	a.latest[key] = attestation{revision: revision, at: asked}
}

// Said is what a witness said, as another node passes it on.
type Said struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Revision    int64  `cbor:"3,keyasint"`
	// Age is the time since the question that the witness answered was asked.
	Age time.Duration `cbor:"4,keyasint"`
}

// Said returns what the witnesses that keep returns true for said, each once.
func (a *Attestations) Said(t *WitnessTable, keep func(Witness) bool, now time.Time) []Said {
	var all []Said
	for _, w := range t.All() {
		said := a.of(w)
		repeated := slices.ContainsFunc(all, func(s Said) bool { return s.VM == w.VM && s.Incarnation == w.Incarnation })
		if said.at.IsZero() || repeated || !keep(w) {
			continue
		}
		all = append(all, Said{VM: w.VM, Incarnation: w.Incarnation, Revision: said.revision, Age: now.Sub(said.at)})
	}
	return all
}

// Pass notes what another node passed on when it answered a question that was
// asked at the time. The ages were measured later than that, so they only err
// upwards.
func (a *Attestations) Pass(all []Said, asked time.Time) {
	for _, s := range all {
		a.Note(s.VM, s.Incarnation, s.Revision, asked.Add(-max(0, s.Age)))
	}
}

// HeardSince reports whether what a witness said is not older than the time.
func (a *Attestations) HeardSince(w Witness, since time.Time) bool {
	return !a.of(w).at.Before(since)
}

// Forget drops what was said before the time.
func (a *Attestations) Forget(before time.Time) {
	for key, said := range a.latest {
		if said.at.Before(before) {
			delete(a.latest, key)
		}
	}
}

func (a *Attestations) of(w Witness) attestation {
	return a.latest[incarnation{vm: w.VM, number: w.Incarnation}]
}

// Acknowledged reports whether a majority holds the revision or a later one.
// A witness that has ended counts as one that does: it can attest an earlier
// revision no more, and what it attested before it ended is older than the
// acknowledgement. An empty table has no majority to wait for.
func (a *Attestations) Acknowledged(t *WitnessTable, settled bool, revision int64, ended func(Witness) bool) bool {
	if len(t.Current) == 0 {
		return true
	}
	return t.Quorum(settled, func(w Witness) bool { return a.of(w).revision >= revision || ended(w) })
}

// Proof returns the latest time since which a majority has attested exactly
// the revision; ok is false if there is no such majority.
func (a *Attestations) Proof(t *WitnessTable, settled bool, revision int64) (at time.Time, ok bool) {
	var times []time.Time
	for _, w := range t.All() {
		if said := a.of(w); said.revision == revision && !said.at.IsZero() {
			times = append(times, said.at)
		}
	}
	slices.SortFunc(times, func(x, y time.Time) int { return y.Compare(x) })
	for _, since := range times {
		attested := func(w Witness) bool {
			said := a.of(w)
			return said.revision == revision && !said.at.Before(since)
		}
		if t.Quorum(settled, attested) {
			return since, true
		}
	}
	return time.Time{}, false
}
