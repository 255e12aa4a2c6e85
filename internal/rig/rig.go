// Package rig runs a small fleet of real processes on loopback, with a proxy
// that injects faults in front of every listener. Tests and the bench share it.
//
// Each node has an IP number of its own in 127.0.0.0/8 and dials from it, so
// the proxy knows both ends of a connection.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
)

const (
	fleetSecret = "a secret for tests on one machine"
	// StorePrefix starts every key in the rig's store.
	StorePrefix = "/mangomast/"
	readyPoll   = 50 * time.Millisecond
	// StoreListener is the store's name in rules.
	StoreListener = "store"
)

// NodeSpec describes one VM: its node and its upstream.
type NodeSpec struct {
	VM            string
	FailureDomain string
	Region        string
	Service       string
	Slots         int
	Connections   int
	Behaviour     standin.Behaviour
	// Modules holds settings of the node's modules by ID.
	Modules map[string]json.RawMessage
}

// Options are the inputs of Start.
type Options struct {
	Nodes    []NodeSpec
	Document *config.Document
	LogLevel string
	// WithoutSeeds leaves the seeds out of the nodes' settings.
	WithoutSeeds bool
}

// Node is one running VM.
type Node struct {
	Spec NodeSpec
	// IP is the address that the node listens on and dials from.
	IP string
	// Callers, Mesh, Egress and Admin are the node's own addresses; Callers
	// and Mesh are reached through the proxy at CallersProxy and MeshProxy.
	Callers, Mesh, Egress, Admin string
	CallersProxy, MeshProxy      string
	// UpstreamAddress is the upstream's own address.
	UpstreamAddress string

	Process  *Process
	Upstream *Process
	settings string
}

// Rig is a running fleet.
type Rig struct {
	Network *Network
	Nodes   []*Node
	Store   *Process
	// StoreURL is the store's address past the proxy.
	StoreURL string
	// StoreAddress is the store's address behind the proxy.
	StoreAddress string

	dir      string
	binaries string
	opts     Options
	block    int
}

// Start builds and starts the store, the nodes and their upstreams, puts the
// document in the store and waits until every node serves it.
func Start(ctx context.Context, opts Options) (*Rig, error) {
	binaries, err := Build()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangomast-rig-")
	if err != nil {
		return nil, errors.Wrap(err, "make rig folder")
	}
	r := &Rig{Network: NewNetwork(), dir: dir, binaries: binaries, opts: opts, block: 1 + rand.IntN(250)}
	if err := r.start(ctx); err != nil {
		logs := r.Logs()
		r.Close()
		return nil, errors.Wrapf(err, "start rig; logs:\n%s", logs)
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.startStore(); err != nil {
		return err
	}
	if err := r.Apply(ctx, r.opts.Document); err != nil {
		return err
	}
	for i, spec := range r.opts.Nodes {
		node, err := r.place(i, spec)
		if err != nil {
			return err
		}
		r.Nodes = append(r.Nodes, node)
	}
	for _, node := range r.Nodes {
		if err := r.writeSettings(node); err != nil {
			return err
		}
		if err := r.StartUpstream(node); err != nil {
			return err
		}
		if err := r.StartNode(node); err != nil {
			return err
		}
	}
	return r.WaitReady(ctx)
}

// WaitReady waits until every node knows every other and has configuration.
func (r *Rig) WaitReady(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range r.Nodes {
		group.Go(func() error { return r.waitNode(ctx, node) })
	}
	return group.Wait()
}

func (r *Rig) waitNode(ctx context.Context, node *Node) error {
	for {
		status, err := r.Status(ctx, node)
		if err == nil && status.Revision > 0 && status.Fresh && status.Owned && len(status.Members) >= len(r.Nodes) && r.allReady(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("node %s is not ready: %+v, %v", node.Spec.VM, status, err)
		case <-node.Process.Done():
			return errors.Errorf("node %s ended: %v", node.Spec.VM, node.Process.Err())
		case <-time.After(readyPoll):
		}
	}
}

// allReady reports whether every VM with an upstream takes work.
func (r *Rig) allReady(status operator.Status) bool {
	serves := map[string]bool{}
	for _, node := range r.Nodes {
		serves[node.Spec.VM] = node.Spec.Service != ""
	}
	for _, entry := range status.Members {
		if serves[entry.VM] && entry.State != membership.Ready {
			return false
		}
	}
	return true
}

// Logs returns the last part of every process's output.
func (r *Rig) Logs() string {
	const tail = 2000
	var all bytes.Buffer
	files, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		fmt.Fprintf(&all, "--- %s\n%s\n", filepath.Base(file), data)
	}
	return all.String()
}

// LogFile returns the path of a process's output.
func (r *Rig) LogFile(name string) string { return filepath.Join(r.dir, name+".log") }

// Close ends every process and removes the rig's folder.
func (r *Rig) Close() {
	var group errgroup.Group
	for _, node := range r.Nodes {
		for _, p := range []*Process{node.Process, node.Upstream} {
			if p != nil {
				group.Go(func() error { p.Kill(); return nil })
			}
		}
	}
	_ = group.Wait()
	if r.Store != nil {
		r.Store.Kill()
	}
	r.Network.Close()
	_ = os.RemoveAll(r.dir)
}

// RegionOf returns the region of a node by its IP number, its VM name or the
// name of one of its listeners; empty for callers and the store.
func RegionOf(r *Rig, name string) string {
	vm, _, _ := strings.Cut(name, "/")
	for _, node := range r.Nodes {
		if node.IP == vm || node.Spec.VM == vm {
			return node.Spec.Region
		}
	}
	return ""
}
