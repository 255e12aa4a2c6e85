package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/store/etcd"
)

// ApplyDocument writes the document to the store, bypassing the proxy.
func (r *Rig) ApplyDocument(ctx context.Context, doc *config.Document) error {
	backend := etcd.New(etcd.Options{Endpoints: []string{r.StoreURL}})
	_, err := edit.NewEditor(backend, StorePrefix, clockwork.NewRealClock()).Replace(ctx, doc, "rig")
	return err
}

// SetStoreFaults replaces the faults that the store injects.
func (r *Rig) SetStoreFaults(ctx context.Context, f standin.Faults) error {
	return postJSON(ctx, r.StoreURL+standin.PathFaults, f)
}

// StoreCounts returns the numbers of calls that the store has received.
func (r *Rig) StoreCounts(ctx context.Context) (standin.Counts, error) {
	var counts standin.Counts
	err := getJSON(ctx, r.StoreURL+standin.PathCounts, &counts)
	return counts, err
}

// SetBehaviour changes how a node's upstream serves requests.
func (r *Rig) SetBehaviour(ctx context.Context, node *Node, b standin.Behaviour) error {
	return postJSON(ctx, "http://"+node.UpstreamAddress+standin.PathBehaviour, b)
}

// LeaveUpstream makes a node's upstream announce that it is leaving.
func (r *Rig) LeaveUpstream(ctx context.Context, node *Node) error {
	return postJSON(ctx, "http://"+node.UpstreamAddress+standin.PathLeave, nil)
}

// Report returns the report of a node's upstream since the upstream's start.
func (r *Rig) Report(ctx context.Context, node *Node) (standin.Report, error) {
	var report standin.Report
	err := getJSON(ctx, "http://"+node.UpstreamAddress+standin.PathReport, &report)
	return report, err
}

// Status returns a node's view of the fleet.
func (r *Rig) Status(ctx context.Context, node *Node) (operator.Status, error) {
	var status operator.Status
	err := getJSON(ctx, "http://"+node.Admin+operator.PathStatus, &status)
	return status, err
}

// OwnStatus returns a node's status without the member list, which is faster.
func (r *Rig) OwnStatus(ctx context.Context, node *Node) (operator.Status, error) {
	var status operator.Status
	err := getJSON(ctx, "http://"+node.Admin+operator.PathStatus+"?members=no", &status)
	return status, err
}

func getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return doJSON(req, target)
}

func postJSON(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return doJSON(req, nil)
}

func doJSON(req *http.Request, target any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, req.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s returned status %s", req.URL.Path, resp.Status)
	}
	if target == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(target), req.URL.Path)
}
