package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/membership"
)

const clientTimeout = 15 * time.Second

// Client calls the API of one node, and of others if that one does not answer.
// It is safe for concurrent use. Refusals are returned as *finding.Error,
// *edit.ConflictError, edit.ErrUnchanged, *OutcomeUnknownError or plain errors.
type Client struct {
	bases []string
	token string
	http  *http.Client
}

// NewClient returns a client for a node's admin address, such as
// http://127.0.0.1:8083, or for several with commas between. They are tried in
// turn: each change has an ID, so that it is made once whichever nodes got it.
func NewClient(nodes, token string) *Client {
	c := &Client{token: token, http: &http.Client{Timeout: clientTimeout}}
	for node := range strings.SplitSeq(nodes, ",") {
		c.bases = append(c.bases, strings.TrimRight(strings.TrimSpace(node), "/"))
	}
	return c
}

// Status is a node's view of the fleet.
type Status struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
	Fresh    bool   `json:"fresh"`
	// Owned is true once every organisation's rate has an owner in force.
	Owned bool `json:"owned"`
	// Stream is the revision of the stream in force on the node, Accepted the
	// highest that is known to be in force on every VM.
	Stream   int64 `json:"stream"`
	Accepted int64 `json:"accepted"`
	// Members is left out if the query parameter members is "no".
	Members []membership.Entry `json:"members"`
}

// Document reads the document.
func (c *Client) Document(ctx context.Context) (*DocumentAnswer, error) {
	answer := &DocumentAnswer{}
	return answer, c.call(ctx, http.MethodGet, PathDocument, nil, answer)
}

// Merge returns the edits that a whole document amounts to.
func (c *Client) Merge(ctx context.Context, doc *config.Document) ([]edit.Edit, error) {
	answer := &MergeAnswer{}
	err := c.call(ctx, http.MethodPost, PathMerge, MergeRequest{Document: doc}, answer)
	return answer.Edits, err
}

// Change makes edits. The request is sent under one ID, so that the store
// takes it once.
func (c *Client) Change(ctx context.Context, note string, edits []edit.Edit) (*edit.Change, error) {
	change := &edit.Change{}
	request := ChangeRequest{ID: uuid.NewString(), Note: note, Edits: edits}
	return change, c.call(ctx, http.MethodPost, PathChanges, request, change)
}

// Undo takes a past change back.
func (c *Client) Undo(ctx context.Context, number uint64) (*edit.Change, error) {
	change := &edit.Change{}
	return change, c.call(ctx, http.MethodPost, PathUndo, UndoRequest{ID: uuid.NewString(), Number: number}, change)
}

// History returns the past changes, newest first.
func (c *Client) History(ctx context.Context) ([]edit.Change, error) {
	var changes []edit.Change
	return changes, c.call(ctx, http.MethodGet, PathHistory, nil, &changes)
}

// GrantKey makes a key for an organisation. The key is made here and only its
// hash is sent. If the outcome is unknown the answer has the key as well, in
// case that it was granted.
func (c *Client) GrantKey(ctx context.Context, request KeyRequest) (*KeyAnswer, error) {
	answer := &KeyAnswer{Key: config.NewKey()}
	added, err := request.edit(answer.Key)
	if err != nil {
		return answer, err
	}
	change, err := c.Change(ctx, request.note(), []edit.Edit{added})
	answer.Change = *change
	return answer, err
}

// WithdrawKey removes a key.
func (c *Client) WithdrawKey(ctx context.Context, id string) (*edit.Change, error) {
	change := &edit.Change{}
	path := PathKeys + "/" + url.PathEscape(id) + "?" + url.Values{ParamChange: {uuid.NewString()}}.Encode()
	return change, c.call(ctx, http.MethodDelete, path, nil, change)
}

// Progress says how far a revision has come into force.
func (c *Client) Progress(ctx context.Context, revision int64) (*Progress, error) {
	progress := &Progress{}
	path := PathProgress + "?revision=" + strconv.FormatInt(revision, 10)
	return progress, c.call(ctx, http.MethodGet, path, nil, progress)
}

// Status returns the node's view of the fleet.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	status := &Status{}
	return status, c.call(ctx, http.MethodGet, PathStatus, nil, status)
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	changes := method != http.MethodGet && path != PathMerge
	sent := false
	for _, base := range c.bases {
		var resp *http.Response
		if resp, err = c.send(ctx, method, base+path, data); err != nil {
			sent = sent || !neverSent(err)
			continue
		}
		unavailable := resp.StatusCode == http.StatusServiceUnavailable
		if err = decodeAnswer(resp, answer); sent && changes && unavailable {
			return &OutcomeUnknownError{Message: err.Error()}
		}
		return err
	}
	err = errors.Wrapf(err, "no answer from the node at %s; give another with --node", strings.Join(c.bases, ", "))
	if sent && changes {
		return &OutcomeUnknownError{Message: err.Error()}
	}
	return err
}

func (c *Client) send(ctx context.Context, method, target string, data []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.token)
	return c.http.Do(req)
}

// neverSent reports whether no connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	var target *url.Error
	if !errors.As(err, &target) {
		return true
	}
	return errors.As(err, &op) && op.Op == "dial"
}

func decodeAnswer(resp *http.Response, answer any) error {
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return problemOf(resp)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "decode answer")
}

func problemOf(resp *http.Response) error {
	var problem Problem
	if err := json.NewDecoder(resp.Body).Decode(&problem); err != nil {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	switch {
	case len(problem.Conflicts) > 0:
		return &edit.ConflictError{Conflicts: problem.Conflicts}
	case len(problem.Findings) > 0:
		return &finding.Error{Findings: problem.Findings}
	case problem.Unchanged:
		return edit.ErrUnchanged
	case resp.StatusCode == http.StatusGatewayTimeout:
		return &OutcomeUnknownError{Message: problem.Message}
	}
	return errors.New(problem.Message)
}
