package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/revision"
	"github.com/mangomast/mangomast/store"
)

const (
	readTimeout = 2 * time.Second
	// readPollInterval is the interval at which a relay checks whether a read is
	// due. Other nodes check at otherReadPollInterval, only to detect that they
	// became a relay.
	readPollInterval      = 100 * time.Millisecond
	otherReadPollInterval = 500 * time.Millisecond
	// maxStoreProofAge is the age of the last proof by the store at which the
	// first relay of a failure domain reads the store. Each further relay waits
	// readRankDelay longer, so that it reads only if the relays before it do not.
	maxStoreProofAge = 400 * time.Millisecond
	readRankDelay    = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the exponential backoff after a failed
	// read.
	minBackoff = 800 * time.Millisecond
	maxBackoff = 4 * time.Second
	// maxReadRetries is the maximum number of retries if the document changes
	// while it is read.
	maxReadRetries = 5
)

var errOlderRevision = errors.New("store returned an older revision than the one held")

// readStore reads the store whenever the last read by any relay is too old.
func (m *Module) readStore(ctx context.Context) error {
	backoff := time.Duration(0)
	for {
		if m.readDue() {
			err := m.read(ctx)
			for range maxReadRetries {
				if !errors.Is(err, config.ErrSectionChanged) {
					break
				}
				err = m.read(ctx)
			}
			backoff = nextBackoff(backoff, err)
			if err != nil && ctx.Err() == nil {
				m.log.WithError(err).WithField("again_in", backoff.String()).Warn("reading the configuration from the store failed; retrying later")
			}
		}
		// Jitter keeps the relays from reading at the same time.
		wait := max(m.readPollInterval(), backoff)
		if err := kernel.Sleep(ctx, m.clock, wait/2+rand.N(wait)); err != nil {
			return err
		}
		m.decide()
	}
}

func nextBackoff(last time.Duration, err error) time.Duration {
	if err == nil {
		return 0
	}
	return min(max(minBackoff, 2*last), maxBackoff)
}

// readPollInterval returns the interval at which this node checks whether a read
// is due.
func (m *Module) readPollInterval() time.Duration {
	if _, rank := m.members.Position(); rank < 0 {
		return otherReadPollInterval
	}
	return readPollInterval
}

// readDue reports whether this node is a relay and the last known read of the
// store is so old that it is this relay's turn to read.
func (m *Module) readDue() bool {
	_, rank := m.members.Position()
	if rank < 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.firstRelayFailed && rank > 0 {
		rank--
	}
	return m.clock.Since(m.freshness.LastStoreProof()) > maxStoreProofAge+time.Duration(rank)*readRankDelay
}

// read fetches the revisions from the store and, if there is a later one, reads
// the stream.
func (m *Module) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sentAt := m.clock.Now()
	listing, err := m.store.ListRevisions(ctx, m.prefix)
	if err != nil {
		return err
	}
	latest := m.stateOf(listing)
	m.mu.Lock()
	held := m.held()
	m.mu.Unlock()
	if latest.Revision > held {
		sentAt = m.clock.Now()
		if listing, err = m.store.List(ctx, m.prefix); err != nil {
			return err
		}
		if latest, err = m.addSections(ctx, m.stateOf(listing)); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if latest.Revision < held {
		return errOlderRevision
	}
	if latest.Revision > held {
		m.adopt(latest)
	}
	m.freshness.ProveByStore(sentAt)
	m.publishProof()
	return nil
}

// addSections returns the state with the document's sections added. Sections
// that the node already holds are not read again.
func (m *Module) addSections(ctx context.Context, state *revision.State) (*revision.State, error) {
	value := state.Value(documentName)
	if len(value.Data) == 0 {
		return state, nil
	}
	head, err := config.ParseHead(value.Data)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	missing := m.assembler.Missing(head)
	held := m.state
	m.mu.Unlock()
	records, err := store.GetMany(ctx, m.store, m.sections, missing)
	if err != nil {
		return nil, err
	}
	values := slices.Clone(state.Values)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		if err := m.assembler.Add(record.Key, record.Value); err != nil {
			return nil, err
		}
		values = append(values, revision.Value{Name: config.SectionPrefix + record.Key, Revision: record.ModRevision, Data: record.Value})
	}
	if changed := m.assembler.Missing(head); len(changed) > 0 {
		return nil, errors.Wrapf(config.ErrSectionChanged, "%v", changed)
	}
	for _, ref := range head.Sections {
		if !slices.Contains(missing, ref.Name) {
			values = append(values, held.Value(config.SectionPrefix+ref.Name))
		}
	}
	return revision.NewState(values), nil
}

func (m *Module) stateOf(listing store.Listing) *revision.State {
	var values []revision.Value
	for _, record := range listing.Records {
		name := strings.TrimPrefix(record.Key, m.prefix)
		values = append(values, revision.Value{Name: name, Revision: record.ModRevision, Data: record.Value})
	}
	return revision.NewState(values)
}
