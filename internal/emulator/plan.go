// Package emulator simulates load on a fleet in virtual time. Decisions are
// made by the code that the nodes use: routing.Balancer, admission.Controller,
// retry.Throttles and attempt.Tracker. Upstreams are modelled by slots, speeds,
// a cold start, a saturation knee, declined requests and calls to other
// services. Requests are not cancelled when their callers give up, and rate
// limits are not modelled.
package emulator

import (
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
)

// Plan describes a fleet and its load, as read from a file.
type Plan struct {
	// Length is the time during which callers send requests.
	Length jsonc.Duration `json:"length"`
	// Delays are the one-way network delays between two VMs.
	Delays Delays `json:"delays"`
	// Domains are the failure domains. The VMs of a service are assigned to them
	// round-robin.
	Domains  []Domain  `json:"failure_domains"`
	Services []Service `json:"services"`
	Kinds    []Kind    `json:"kinds"`
	Changes  []Change  `json:"changes"`
	// RetryBudget limits the retries to each service, over all VMs together and
	// in any span of time.
	RetryBudget RetryBudget `json:"retries"`
	// Unrelated makes calls inherit nothing from the request that makes them, for
	// comparison.
	Unrelated bool `json:"unrelated_calls"`
}

// Delays are one-way delays within a failure domain, within a region and
// between regions.
type Delays struct {
	OwnDomain   jsonc.Duration `json:"own_domain"`
	OwnRegion   jsonc.Duration `json:"own_region"`
	OtherRegion jsonc.Duration `json:"other_region"`
}

// Domain is a failure domain.
type Domain struct {
	ID     string `json:"id"`
	Region string `json:"region"`
}

// Service is a service and the model of its upstreams.
type Service struct {
	ID    string `json:"id"`
	VMs   int    `json:"vms"`
	Slots int    `json:"slots"`
	// Speeds are factors on the work time, assigned to the VMs round-robin; if
	// empty, the factor is 1.
	Speeds []float64 `json:"speeds"`
	// Cold is the time after its start during which an upstream takes ColdFactor
	// times as long.
	Cold       jsonc.Duration `json:"cold"`
	ColdFactor float64        `json:"cold_factor"`
	// Knee is the share of busy slots above which work takes KneeFactor times
	// as long; 0 disables it.
	Knee       float64 `json:"knee"`
	KneeFactor float64 `json:"knee_factor"`
}

// Kind is a kind of request, sent by callers or by upstreams.
type Kind struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// PerSecond is the rate of callers' requests; 0 for kinds that only
	// upstreams send.
	PerSecond float64 `json:"per_second"`
	// Work is the mean time in a slot, without calls. Single runs vary by up to
	// 50% either way. Objective is the latency up to which an answer is counted
	// as in time, Deadline the time limit of the request.
	Work      jsonc.Duration `json:"work"`
	Objective jsonc.Duration `json:"objective"`
	Deadline  jsonc.Duration `json:"deadline"`
	// Worth is the weight of an answer within the objective in Result.Windows.
	Worth      float64 `json:"worth"`
	Importance uint8   `json:"importance"`
	Idempotent bool    `json:"idempotent"`
	Attempts   int     `json:"attempts"`
	// CallerRetries is the maximum number of times that a caller retries after a
	// refusal, CallerRetryDelay the mean delay before such a retry.
	CallerRetries    int            `json:"returns"`
	CallerRetryDelay jsonc.Duration `json:"return_after"`
	// Calls are made sequentially after the own work, while the slot is held.
	Calls []Calls `json:"calls"`
}

// Calls are calls of one kind that a run makes Times times.
type Calls struct {
	Kind  string `json:"kind"`
	Times int    `json:"times"`
}

// Change changes the load, or the upstreams of one service, for a limited time.
// Factors of 0 have no effect. Of overlapping changes to the load or to the same
// service, only the first one in the plan applies.
type Change struct {
	At  jsonc.Duration `json:"at"`
	For jsonc.Duration `json:"for"`
	// Load is a factor on the request rate of all callers. It is ignored if
	// Service is set.
	Load float64 `json:"load"`
	// Service is the ID of the service whose upstreams take Slow times as long
	// and decline the share Declines of their requests.
	Service  string  `json:"service"`
	Slow     float64 `json:"slow"`
	Declines float64 `json:"declines"`
}

// RetryBudget allows Ratio retries for each first attempt, and Reserve retries
// beyond that.
type RetryBudget struct {
	Ratio   float64 `json:"ratio"`
	Reserve float64 `json:"reserve"`
}

// Load reads and validates a plan. All findings are returned in one error.
func Load(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read plan")
	}
	plan, findings := &Plan{}, &finding.List{}
	jsonc.Decode(data, plan, findings)
	plan.Validate(findings)
	return plan, findings.Err()
}

// Validate adds a finding for each error in the plan.
func (p *Plan) Validate(findings *finding.List) {
	if p.Length <= 0 {
		findings.Addf("/length", "must be above 0s")
	}
	if len(p.Domains) == 0 {
		findings.Addf("/failure_domains", "must have at least one failure domain")
	}
	services, kinds := map[string]bool{}, map[string]bool{}
	for i, s := range p.Services {
		services[s.ID] = true
		if s.VMs < 1 || s.Slots < 1 {
			findings.Addf(elementPointer("/services", i), "vms and slots must be at least 1")
		}
	}
	for _, k := range p.Kinds {
		kinds[k.ID] = true
	}
	for i, k := range p.Kinds {
		k.validate(elementPointer("/kinds", i), services, kinds, findings)
	}
	for i, c := range p.Changes {
		if c.Service != "" && !services[c.Service] {
			findings.Addf(elementPointer("/changes", i)+"/service", "unknown service %q", c.Service)
		}
	}
}

// elementPointer returns the JSON pointer of an element of a list.
func elementPointer(pointer string, index int) string { return pointer + "/" + strconv.Itoa(index) }

func (k *Kind) validate(pointer string, services, kinds map[string]bool, findings *finding.List) {
	if !services[k.Service] {
		findings.Addf(pointer+"/service", "unknown service %q", k.Service)
	}
	if k.Work <= 0 || k.Deadline <= 0 || k.Objective <= 0 {
		findings.Addf(pointer, "work, objective and deadline must be above 0s")
	}
	for i, c := range k.Calls {
		if !kinds[c.Kind] {
			findings.Addf(elementPointer(pointer+"/calls", i)+"/kind", "unknown request kind %q", c.Kind)
		}
	}
}
