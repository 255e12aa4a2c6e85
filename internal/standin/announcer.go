package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Announcer announces an upstream to its node at regular intervals.
type Announcer struct {
	// Egress is the base URL of the node's loopback listener.
	Egress      string `json:"-"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving"`
	// Health and Load are the values that the upstream reports about itself.
	Health string  `json:"health,omitempty"`
	Load   float64 `json:"load,omitempty"`

	mu sync.Mutex
}

// Leave announces that the upstream accepts no new requests.
func (a *Announcer) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.Leaving = true
	a.mu.Unlock()
	return a.Announce(ctx)
}

const announceInterval = 500 * time.Millisecond

// Run announces the upstream until the context ends.
func (a *Announcer) Run(ctx context.Context) error {
	for {
		_ = a.Announce(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(announceInterval):
		}
	}
}

// Announce posts one announcement.
func (a *Announcer) Announce(ctx context.Context) error {
	a.mu.Lock()
	data, err := json.Marshal(a)
	a.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	target, err := url.JoinPath(a.Egress, "/.mangomast/announce")
	if err != nil {
		return errors.Wrap(err, "build announcement URL")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build announcement request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "send announcement")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("announcement returned status %s", resp.Status)
	}
	return nil
}
