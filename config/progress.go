package config

import (
	"context"
	"time"
)

// Freshness reports the age of the proof that the snapshot is the latest one.
type Freshness interface {
	// ServesOrganisation reports whether callers of the organisation may be
	// served: either the snapshot is fresh or the proof is no older than the
	// organisation's ServeWhenCutOff.
	ServesOrganisation(org *Organisation) bool
	// ProofAge returns the age of the proof; ok is false if there is none.
	ProofAge() (age time.Duration, ok bool)
}

// Progress reports what the acceptance of a stream revision is waiting for.
type Progress interface {
	// WaitsFor describes, in text for operators, what the acceptance of the
	// revision is waiting for. The result is empty once the revision is
	// accepted. It queries a relay and blocks until the relay responds or ctx
	// ends.
	WaitsFor(ctx context.Context, revision int64) ([]string, error)
}
