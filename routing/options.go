package routing

import "time"

// Options configures a Balancer.
type Options struct {
	// Self is this node's VM. It seeds the ranking that selects the subsets.
	Self  string
	Place Place
	// Rand returns a uniform number in [0, 1).
	Rand func() float64

	// SubsetSize is the maximum number of VMs of a service that this node uses
	// in its own failure domain. In the other failure domains of its region and
	// in other regions it uses half as many each.
	SubsetSize int
	// SpillDomain and SpillRegion are the loads, as shares of a VM's limit,
	// above which requests may spill to another failure domain or region.
	SpillDomain float64
	SpillRegion float64
	// SpillBytesPerSecond and SpillBurstBytes are the rate and burst of the
	// token bucket for bytes that spill to other regions because of load.
	SpillBytesPerSecond float64
	SpillBurstBytes     int
	// LoadHalfLife is the age at which a reported load counts half.
	LoadHalfLife time.Duration
	// Ramp is the duration over which the weight of a new VM grows to its full
	// value.
	Ramp time.Duration
	// Outliers configures outlier ejection.
	Outliers OutlierOptions
}

// OutlierOptions configures when a VM is ejected because of its failures or
// latency.
type OutlierOptions struct {
	// Memory is the time constant of the exponentially decaying averages.
	Memory time.Duration
	// MinFailures is the number of recent failures required to eject a VM.
	MinFailures float64
	// FailureMargin is how far a VM's failure rate must exceed the median of
	// the other VMs of its service. If the median itself reaches the margin,
	// the cause is not the VM and none is ejected for failures.
	FailureMargin float64
	// LatencyFactor is the multiple of the median latency of the other VMs that
	// a VM's latency must exceed. MinLatencies is the number of recent latency
	// samples required.
	LatencyFactor float64
	MinLatencies  float64
	// MaxShare is the maximum share of a service's VMs that may be ejected.
	MaxShare float64
	// MaxLoad is the load of the remaining VMs, as a share of their limits, up
	// to which a VM that still serves some requests may be ejected.
	MaxLoad float64
	// MinEjection is the duration of the first ejection. It doubles with each
	// further ejection, up to MaxEjection.
	MinEjection time.Duration
	MaxEjection time.Duration
}

// UpstreamRamp is the ramp for upstreams that are slow for about three seconds
// after their start.
const UpstreamRamp = 3 * time.Second

// DefaultOptions returns the default options of a node.
func DefaultOptions() Options {
	return Options{
		SubsetSize:          20,
		SpillDomain:         0.8,
		SpillRegion:         1,
		SpillBytesPerSecond: 100e3,
		SpillBurstBytes:     256 << 10,
		LoadHalfLife:        time.Second,
		Ramp:                10 * time.Second,
		Outliers: OutlierOptions{
			Memory:        5 * time.Second,
			MinFailures:   3,
			FailureMargin: 0.3,
			LatencyFactor: 5,
			MinLatencies:  10,
			MaxShare:      0.5,
			MaxLoad:       0.9,
			MinEjection:   2 * time.Second,
			MaxEjection:   30 * time.Second,
		},
	}
}
