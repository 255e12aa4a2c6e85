package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/routing"
	"github.com/mangomast/mangomast/settings"
)

// Routing policies.
const (
	// policyBalanced weighs VMs by load, latency and failures.
	policyBalanced = "balanced"
	// policyNear picks a random one of the nearest VMs. It is the baseline for
	// measurements of policyBalanced.
	policyNear = "near"
)

const (
	maxSubsetSize = 1000
	maxRamp       = 10 * time.Minute
	maxSpillBytes = 1e9
)

// Routing configures how VMs are picked.
type Routing struct {
	// Policy is "balanced" or "near".
	Policy string `json:"policy"`
	// SubsetSize is the maximum number of VMs of a service that this node uses
	// in its own failure domain. In the other failure domains of its region and
	// in other regions it uses half as many each.
	SubsetSize int `json:"subset_size"`
	// SpillDomain and SpillRegion are the loads, as shares of a VM's limit,
	// above which requests spill to other failure domains and regions.
	SpillDomain float64 `json:"spill_domain"`
	SpillRegion float64 `json:"spill_region"`
	// SpillBytesPerSecond and SpillBurstBytes are the rate and burst of the
	// token bucket for bytes that this node spills to other regions because of
	// load.
	SpillBytesPerSecond float64 `json:"spill_bytes_per_second"`
	SpillBurstBytes     int     `json:"spill_burst_bytes"`
	// Ramp is the duration over which the weight of a new VM grows to its full
	// value.
	Ramp jsonc.Duration `json:"ramp"`
	// EjectFailures is the number of recent failures required to eject a VM
	// that fails more than its peers; 0 disables ejection.
	EjectFailures int `json:"eject_failures"`
	// EjectLatencyFactor is the multiple of its peers' median latency above
	// which a VM is ejected.
	EjectLatencyFactor float64 `json:"eject_latency_factor"`
}

func defaultRouting() Routing {
	o := routing.DefaultOptions()
	return Routing{
		Policy: policyBalanced, SubsetSize: o.SubsetSize,
		SpillDomain: o.SpillDomain, SpillRegion: o.SpillRegion,
		SpillBytesPerSecond: o.SpillBytesPerSecond, SpillBurstBytes: o.SpillBurstBytes,
		Ramp: jsonc.Duration(o.Ramp), EjectFailures: int(o.Outliers.MinFailures),
		EjectLatencyFactor: o.Outliers.LatencyFactor,
	}
}

func (r *Routing) validate(prefix string, findings *finding.List) {
	if r.Policy != policyBalanced && r.Policy != policyNear {
		findings.Addf(prefix+"/policy", "must be %q or %q", policyBalanced, policyNear)
	}
	if r.SubsetSize < 1 || r.SubsetSize > maxSubsetSize {
		findings.Addf(prefix+"/subset_size", "must be 1 to %d", maxSubsetSize)
	}
	if !(r.SpillDomain > 0) || !(r.SpillRegion >= r.SpillDomain) {
		findings.Addf(prefix+"/spill_region", "must be at least spill_domain, which must be above 0")
	}
	if !(r.SpillBytesPerSecond >= 0) || r.SpillBytesPerSecond > maxSpillBytes {
		findings.Addf(prefix+"/spill_bytes_per_second", "must be 0 to %g", maxSpillBytes)
	}
	if r.SpillBurstBytes < 0 || r.SpillBurstBytes > maxSpillBytes {
		findings.Addf(prefix+"/spill_burst_bytes", "must be 0 to %g", maxSpillBytes)
	}
	if r.Ramp < 0 || r.Ramp.Std() > maxRamp {
		findings.Addf(prefix+"/ramp", "must be 0 to %s", maxRamp)
	}
	if r.EjectFailures < 0 {
		findings.Addf(prefix+"/eject_failures", "must not be negative")
	}
	if !(r.EjectLatencyFactor > 1) {
		findings.Addf(prefix+"/eject_latency_factor", "must be above 1")
	}
}

// picker returns the configured Picker for the node.
func (r *Routing) picker(node *settings.Node) routing.Picker {
	place := routing.Place{FailureDomain: node.FailureDomain, Region: node.Region}
	if r.Policy == policyNear {
		return &routing.NearestPicker{Place: place, Rand: rand.Float64}
	}
	o := routing.DefaultOptions()
	o.Self, o.Place, o.Rand = node.VM, place, rand.Float64
	o.SubsetSize = r.SubsetSize
	o.SpillDomain, o.SpillRegion = r.SpillDomain, r.SpillRegion
	o.SpillBytesPerSecond, o.SpillBurstBytes = r.SpillBytesPerSecond, r.SpillBurstBytes
	o.Ramp = r.Ramp.Std()
	o.Outliers.MinFailures = float64(r.EjectFailures)
	o.Outliers.LatencyFactor = r.EjectLatencyFactor
	if r.EjectFailures == 0 {
		o.Outliers.MaxShare = 0
	}
	return routing.NewBalancer(o)
}
