// Package membership decides which VMs are part of the fleet. Entries are
// versioned by (VM, incarnation, version). A lower version never replaces a
// higher one, so entries may arrive over any path and in any order.
package membership

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/settings"
)

// State is whether a VM accepts work.
type State uint8

const (
	// Absent VMs run a node but no upstream that accepts work.
	Absent State = iota
	// Ready VMs accept work.
	Ready
	// Leaving VMs finish their in-flight requests and accept no new work.
	Leaving
	// Gone VMs have left in a planned stop. VMs that are lost without one are
	// removed from the table and keep their last state.
	Gone
)

// String returns the state's name as shown in logs and the console.
func (s State) String() string {
	if s > Gone {
		return "unknown"
	}
	return [...]string{"absent", "ready", "leaving", "gone"}[s]
}

// Entry is a VM's entry in the membership table, as announced by its node.
type Entry struct {
	VM string `cbor:"1,keyasint" json:"vm"`
	// Incarnation increases with each start of the VM's node, Version with
	// each change within an incarnation.
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
	// ConfigRevision is the revision of the configuration stream applied on
	// the VM. A change of it alone does not increase Version, so it is up to
	// date only on the relays of the VM's own failure domain.
	ConfigRevision int64 `cbor:"12,keyasint,omitempty" json:"config_revision"`
	// Sheds is true while the VM, or a VM of a service that it calls, sheds
	// load on a route.
	Sheds bool `cbor:"13,keyasint,omitempty" json:"sheds,omitempty"`
	// Departed is the last upstream incarnation of the VM that gave notice of
	// leaving. A later incarnation of the node must not use it again.
	Departed Departure `cbor:"14,keyasint,omitzero" json:"departed,omitzero"`
	// Cold is the last coldness of the upstream that the node announced.
	Cold Coldness `cbor:"15,keyasint,omitzero" json:"cold,omitzero"`
}

// Coldness tells that an upstream is cold and takes fewer requests.
type Coldness struct {
	// Number increases with each announced change within an incarnation. The other
	// fields apply from the time at which a node learns of the number, so that no
	// clocks are compared.
	Number uint64 `cbor:"1,keyasint" json:"number"`
	// For is how much longer the upstream stays cold; 0 if it is warm.
	For time.Duration `cbor:"2,keyasint,omitempty" json:"for,omitempty"`
	// Slots is the number of requests that the cold upstream runs at once.
	Slots int `cbor:"3,keyasint,omitempty" json:"slots,omitempty"`
}

// maxColdness bounds Coldness.For.
const maxColdness = 24 * time.Hour

func (c Coldness) valid() bool {
	return c.For >= 0 && c.For <= maxColdness && c.Slots >= 0 && c.Slots <= settings.MaxSlots
}

// Departure identifies an upstream incarnation that gave notice of leaving.
type Departure struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Born is the start time of the upstream in Unix milliseconds; 0 if the
	// notice did not contain it.
	Born int64 `cbor:"2,keyasint,omitempty" json:"born,omitempty"`
}

// maxVersion bounds versions. An entry with a larger one could not be replaced
// by its VM's own announcements.
const maxVersion = 1 << 48

// maxClockSkew bounds how far an incarnation, which is a start time in Unix
// nanoseconds, may lie in the future.
const maxClockSkew = 24 * time.Hour

// Validate returns the first reason why the entry cannot be from a node, or nil.
// Entries from outside the process must be validated: any writer of the store
// can leave one.
func (e Entry) Validate(now time.Time) error {
	switch {
	case !settings.ValidName(e.VM):
		return errors.Errorf("%.80q is not a valid VM name", e.VM)
	case e.Service != "" && !settings.ValidName(e.Service):
		return errors.Errorf("%.80q is not a valid service name", e.Service)
	case e.FailureDomain != "" && !settings.ValidName(e.FailureDomain), e.Region != "" && !settings.ValidName(e.Region):
		return errors.New("failure domain or region is not a valid name")
	case e.State > Gone:
		return errors.Errorf("state %d is unknown", e.State)
	case e.Slots < 0 || e.Slots > settings.MaxSlots:
		return errors.Errorf("%d slots are out of range", e.Slots)
	case !e.Cold.valid():
		return errors.New("coldness is out of range")
	case e.Version > maxVersion:
		return errors.Errorf("version %d is out of range", e.Version)
	case e.Incarnation > uint64(now.Add(maxClockSkew).UnixNano()):
		return errors.Errorf("incarnation %d is in the future", e.Incarnation)
	}
	address, err := netip.ParseAddrPort(e.MeshAddress)
	if err == nil && address.Port() == 0 {
		err = errors.New("port is 0")
	}
	return errors.Wrap(err, "mesh address")
}

// Newer reports whether e is a newer entry than other for the same VM.
func (e Entry) Newer(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Version > other.Version
}

// Source provides the members known to this node.
type Source interface {
	// View returns the current members; it never returns nil.
	View() *View
	// Self returns this node's own entry.
	Self() Entry
}

// Announcer changes this node's own entry and propagates it immediately.
type Announcer interface {
	Announce(change func(*Entry))
}

// Directory lists the whole fleet.
type Directory interface {
	// Members queries the relays for all VMs and the configuration revision
	// applied on each, ordered by VM. It blocks until they have answered or
	// ctx is done.
	Members(ctx context.Context) ([]Entry, error)
}
