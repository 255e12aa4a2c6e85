// Package config keeps the node's configuration up to date and provides
// config.Source to the other modules.
package config

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/kernel"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "config"

const (
	retryDelay  = 300 * time.Millisecond
	readTimeout = 2 * time.Second
	// Names of the stream's keys after config.StreamPrefix.
	documentName = "document"
	ownersName   = "owners"
)

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{storeplugin.ID, membershipplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module reads and watches the document in the store.
type Module struct {
	store   store.Store
	members *membershipplugin.Module
	prefix  string
	clock   clockwork.Clock
	log     log.Interface
	// owners is used by the watching goroutine alone.
	owners  *config.OwnerTable
	current atomic.Pointer[config.Snapshot]
}

var (
	_ kernel.Module      = (*Module)(nil)
	_ kernel.ActorSource = (*Module)(nil)
	_ config.Source      = (*Module)(nil)
)

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	var err error
	if m.store, err = kernel.Require[store.Store](ctx); err != nil {
		return err
	}
	if m.members, err = kernel.Require[*membershipplugin.Module](ctx); err != nil {
		return err
	}
	m.prefix = ctx.Node.Store.Prefix + config.StreamPrefix
	m.clock, m.log = ctx.Clock, ctx.Log
	kernel.Provide[config.Source](ctx, m)
	return nil
}

// Snapshot implements config.Source.
func (m *Module) Snapshot() *config.Snapshot { return m.current.Load() }

// Fresh implements config.Source.
func (m *Module) Fresh() bool { return m.current.Load() != nil }

// Accepted implements config.Source.
func (m *Module) Accepted() int64 {
	if current := m.current.Load(); current != nil {
		return current.Stream
	}
	return 0
}

// Actors implements kernel.ActorSource.
func (m *Module) Actors() []kernel.Actor {
	return []kernel.Actor{{Name: "watch", Run: m.run}}
}

func (m *Module) run(ctx context.Context) error {
	for {
		if err := m.follow(ctx); ctx.Err() == nil {
			m.log.WithError(err).Warn("configuration is not being watched; trying again")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.clock.After(retryDelay):
		}
	}
}

// follow reads the stream's keys and takes in changes until the watch ends.
func (m *Module) follow(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	listing, err := m.store.List(readCtx, m.prefix)
	cancel()
	if err != nil {
		return err
	}
	m.accept(listing.Records)
	return m.store.Watch(ctx, m.prefix, listing.Revision+1, func(batch store.WatchBatch) {
		var records []store.Record
		for _, event := range batch.Events {
			if !event.Deleted {
				records = append(records, event.Record)
			}
		}
		m.accept(records)
	})
}

// accept takes in records of the stream that are newer than those known.
func (m *Module) accept(records []store.Record) {
	for _, record := range records {
		if m.acceptRecord(record) {
			m.members.SetConfigRevision(m.Accepted())
			m.log.WithField("revision", record.ModRevision).Info("configuration is in force")
		}
	}
}

func (m *Module) acceptRecord(record store.Record) bool {
	current := m.current.Load()
	switch strings.TrimPrefix(record.Key, m.prefix) {
	case documentName:
		if current != nil && record.ModRevision <= current.Revision {
			return false
		}
		doc := &config.Document{}
		if err := json.Unmarshal(record.Value, doc); err != nil {
			m.log.WithError(err).Error("configuration in the store is invalid; keeping the last one")
			return false
		}
		next := config.NewSnapshot(doc, record.ModRevision)
		m.current.Store(next.WithOwners(m.owners, max(record.ModRevision, m.owners.StreamRevision())))
	case ownersName:
		if m.owners != nil && record.ModRevision <= m.owners.Revision {
			return false
		}
		table, err := config.ParseOwners(record.Value, record.ModRevision)
		if err != nil {
			m.log.WithError(err).Error("owner table in the store is invalid; keeping the last one")
			return false
		}
		m.owners = table
		if current == nil {
			return false
		}
		m.current.Store(current.WithOwners(table, max(current.Stream, record.ModRevision)))
	default:
		return false
	}
	return true
}
