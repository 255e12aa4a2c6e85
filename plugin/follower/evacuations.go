package follower

import (
	"github.com/apex/log"

	"github.com/mangomast/mangomast/dialect"
	decisions "github.com/mangomast/mangomast/evacuation"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/plugin/evacuation"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/store"
)

// maxInvalidKeys bounds the invalid keys that are remembered as logged.
const maxInvalidKeys = 256

// evacuationReader translates the store's records of evacuations. Only one
// goroutine uses it.
type evacuationReader struct {
	module  *evacuation.Module
	dialect dialect.Evacuations
	log     log.Interface
	// invalidKeys are the keys that were logged as invalid.
	invalidKeys map[string]bool
}

func newEvacuationReader(ctx *kernel.Context) (*evacuationReader, error) {
	r := &evacuationReader{log: ctx.Log, invalidKeys: map[string]bool{}}
	if err := kernel.Resolve(ctx, &r.module); err != nil || !r.module.Follow {
		return r, err
	}
	return r, kernel.Resolve(ctx, &r.dialect)
}

// prefixOr returns the prefix to watch, which is key if evacuations are not
// followed.
func (r *evacuationReader) prefixOr(key string) string {
	if r.module.Follow {
		return r.dialect.Prefix()
	}
	return key
}

// list applies a listing of all evacuations.
func (r *evacuationReader) list(listing store.Listing) {
	if !r.module.Follow {
		return
	}
	var domains []string
	for _, record := range listing.Records {
		if domain, ok := r.domain(record.Key); ok {
			domains = append(domains, domain)
		}
	}
	r.module.Listed(listing.Revision, domains)
}

// apply applies the events of a watch.
func (r *evacuationReader) apply(events []store.Event) {
	if !r.module.Follow {
		return
	}
	var changes []decisions.Change
	for _, event := range events {
		if domain, ok := r.domain(event.Record.Key); ok {
			changes = append(changes, decisions.Change{Domain: domain, Revision: event.Record.ModRevision, Ended: event.Deleted})
		}
	}
	r.module.Watched(changes)
}

// domain returns the failure domain that the key evacuates. A key with a name that
// no failure domain can have is logged once.
func (r *evacuationReader) domain(key string) (string, bool) {
	domain, ok := r.dialect.Domain(key)
	if !ok || settings.ValidName(domain) {
		return domain, ok
	}
	if !r.invalidKeys[key] {
		if len(r.invalidKeys) >= maxInvalidKeys {
			clear(r.invalidKeys)
		}
		r.invalidKeys[key] = true
		r.log.WithField("key", key).Warn("ignoring an evacuation in the store; its key names no failure domain")
	}
	return "", false
}
