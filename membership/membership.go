// Package membership decides which VMs are part of the fleet. Entries are
// versioned by (VM, incarnation, version); a lower version never replaces a
// higher one, so entries may arrive by any way and in any order.
package membership

import "context"

// State is what is known of a VM's willingness to take work.
type State uint8

const (
	// Absent VMs run a node but no upstream that takes work.
	Absent State = iota
	// Ready VMs take work.
	Ready
	// Leaving VMs finish what runs and take no new work.
	Leaving
	// Gone VMs have stopped or were unheard for too long.
	Gone
)

// String returns the state's name in logs and screens.
func (s State) String() string {
	return [...]string{"absent", "ready", "leaving", "gone"}[s]
}

// Entry is what a node announces of itself.
type Entry struct {
	VM string `cbor:"1,keyasint" json:"vm"`
	// Incarnation grows with each start of the VM's node; Version with each
	// change within an incarnation.
	Incarnation   uint64 `cbor:"2,keyasint" json:"incarnation"`
	Version       uint64 `cbor:"3,keyasint" json:"version"`
	FailureDomain string `cbor:"4,keyasint" json:"failure_domain"`
	Region        string `cbor:"5,keyasint" json:"region"`
	Service       string `cbor:"6,keyasint,omitempty" json:"service,omitempty"`
	State         State  `cbor:"7,keyasint" json:"state"`
	Slots         int    `cbor:"8,keyasint,omitempty" json:"slots,omitempty"`
	// MeshAddress, CallerAddress and AdminAddress are IP:port.
	MeshAddress   string `cbor:"9,keyasint" json:"mesh_address"`
	CallerAddress string `cbor:"10,keyasint" json:"caller_address"`
	AdminAddress  string `cbor:"11,keyasint" json:"admin_address"`
	// ConfigRevision is the revision of the stream in force on the VM. It is
	// current at the relays of the VM's own failure domain only: a change of
	// it alone makes no new version.
	ConfigRevision int64 `cbor:"12,keyasint,omitempty" json:"config_revision"`
	// Sheds is true while the VM, or one of a service that it calls, accepts
	// less than all requests of a route.
	Sheds bool `cbor:"13,keyasint,omitempty" json:"sheds,omitempty"`
}

// Newer reports whether e replaces other, which has the same VM.
func (e Entry) Newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Version > other.Version
}

// Source gives the members known to this node.
type Source interface {
	// View returns the current members; it never returns nil.
	View() *View
	// Self returns this node's own entry.
	Self() Entry
}

// Announcer changes this node's own entry and spreads it at once.
type Announcer interface {
	Announce(change func(*Entry))
}

// Directory lists the whole fleet.
type Directory interface {
	// Members asks the relays for every VM, with the configuration in force
	// on it, ordered by VM. It blocks until they have answered or ctx ends.
	Members(ctx context.Context) ([]Entry, error)
}
