package config

import (
	"context"
	"time"
)

// Freshness says how old the proof is that the snapshot is the latest.
type Freshness interface {
	// ServesOrganisation reports whether callers of the organisation may be
	// served: the snapshot is fresh, or its proof is no older than the
	// organisation's ServeWhenCutOff.
	ServesOrganisation(org *Organisation) bool
	// ProofAge returns the age of the proof; ok is false if there is none.
	ProofAge() (age time.Duration, ok bool)
}

// Progress says what a revision of the stream still waits for.
type Progress interface {
	// WaitsFor returns what stands between the revision and its acceptance, in
	// words for operators; nothing once it is accepted. It asks a relay and
	// blocks until that has answered or ctx ends.
	WaitsFor(ctx context.Context, revision int64) ([]string, error)
}
