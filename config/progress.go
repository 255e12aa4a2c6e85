package config

import (
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
