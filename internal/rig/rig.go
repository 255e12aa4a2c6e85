// Package rig runs a small fleet of real processes on the loopback interface
// for tests and the bench. Proxies that inject faults are in front of the store
// and of each node's listeners for callers and for the mesh.
//
// Each node listens on and dials from its own IP address in 127.0.0.0/8, so
// that the proxy can identify both ends of a connection.
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
	// StorePrefix is the prefix of all keys in the rig's store.
	StorePrefix       = "/mangomast/"
	readyPollInterval = 50 * time.Millisecond
	// StoreListener is the listener name of the store in rules.
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
	// Modules are the settings of the node's modules by module ID.
	Modules map[string]json.RawMessage
}

// Options are the inputs of Start.
type Options struct {
	Nodes    []NodeSpec
	Document *config.Document
	LogLevel string
	// WithoutSeeds omits the seeds from the nodes' settings.
	WithoutSeeds bool
}

// Node is one VM of the rig: the processes of its node and its upstream.
type Node struct {
	Spec NodeSpec
	// IP is the address that the node listens on and dials from.
	IP string
	// Callers, Mesh, Egress and Admin are the addresses that the node listens
	// on. CallersProxy and MeshProxy are the proxies' addresses for the first
	// two.
	Callers, Mesh, Egress, Admin string
	CallersProxy, MeshProxy      string
	// UpstreamAddress is the address that the upstream listens on.
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
	// StoreURL is the store's URL, bypassing the proxy.
	StoreURL string
	// StoreAddress is the address of the store's proxy.
	StoreAddress string

	// dir has the logs, settings and journals of the rig, binaries the
	// programs.
	dir      string
	binaries string
	opts     Options
	ipOctet  int
}

// Start builds the programs, starts the store, writes the document to it,
// starts the nodes and their upstreams, and waits until every node is ready.
func Start(ctx context.Context, opts Options) (*Rig, error) {
	binaries, err := Build()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangomast-rig-")
	if err != nil {
		return nil, errors.Wrap(err, "create rig directory")
	}
	r := &Rig{Network: NewNetwork(), dir: dir, binaries: binaries, opts: opts, ipOctet: 1 + rand.IntN(250)}
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
	if err := r.ApplyDocument(ctx, r.opts.Document); err != nil {
		return err
	}
	for i, spec := range r.opts.Nodes {
		node, err := r.allocateNode(i, spec)
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

// WaitReady waits until every node has fresh configuration with owners and
// lists all nodes as members, those with an upstream in state ready.
func (r *Rig) WaitReady(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range r.Nodes {
		group.Go(func() error { return r.waitNodeReady(ctx, node) })
	}
	return group.Wait()
}

func (r *Rig) waitNodeReady(ctx context.Context, node *Node) error {
	for {
		status, err := r.Status(ctx, node)
		if err == nil && status.Revision > 0 && status.Fresh && status.Owned && len(status.Members) >= len(r.Nodes) && r.allReady(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("node %s not ready: status %+v, error %v", node.Spec.VM, status, err)
		case <-node.Process.Done():
			return errors.Errorf("node %s exited before it was ready: %v", node.Spec.VM, node.Process.Err())
		case <-time.After(readyPollInterval):
		}
	}
}

// allReady reports whether all listed VMs with an upstream are ready.
func (r *Rig) allReady(status operator.Status) bool {
	hasUpstream := map[string]bool{}
	for _, node := range r.Nodes {
		hasUpstream[node.Spec.VM] = node.Spec.Service != ""
	}
	for _, entry := range status.Members {
		if hasUpstream[entry.VM] && entry.State != membership.Ready {
			return false
		}
	}
	return true
}

// Logs returns the end of every process's log file.
func (r *Rig) Logs() string {
	const maxLogBytes = 2000
	var all bytes.Buffer
	files, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if len(data) > maxLogBytes {
			data = data[len(data)-maxLogBytes:]
		}
		fmt.Fprintf(&all, "--- %s\n%s\n", filepath.Base(file), data)
	}
	return all.String()
}

// LogFile returns the path of a process's log file.
func (r *Rig) LogFile(name string) string { return filepath.Join(r.dir, name+".log") }

// Close kills all processes and removes the rig's directory.
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

// RegionOf returns the region of a node, given its IP address, its VM name or
// the name of one of its listeners. It returns an empty string for callers and
// the store.
func RegionOf(r *Rig, name string) string {
	vm, _, _ := strings.Cut(name, "/")
	for _, node := range r.Nodes {
		if node.IP == vm || node.Spec.VM == vm {
			return node.Spec.Region
		}
	}
	return ""
}
