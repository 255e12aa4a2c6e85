package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/rig"
)

const (
	// consoleRaces is how often two operators send a form for the same field at
	// the same moment, through the consoles of two nodes.
	consoleRaces = 20
	racedField   = "/organisations/org-1/rate"
)

// consoleClient is an operator's browser at one node's console.
type consoleClient struct {
	base string
	http *http.Client
	csrf string
}

var (
	csrfPattern  = regexp.MustCompile(`name="csrf" value="([^"]+)"`)
	ratePattern  = regexp.MustCompile(`name="old\.rate" value="([^"]+)"`)
	racePagePath = "/part/organisations/edit/org-1"
)

func signIn(ctx context.Context, node *rig.Node, token string) (*consoleClient, error) {
	jar, err := cookiejar.New(nil)
	if err != nil {
		return nil, errors.Wrap(err, "make cookie jar")
	}
	c := &consoleClient{base: "http://" + node.Admin, http: &http.Client{Jar: jar}}
	_, err = c.post(ctx, "/login", url.Values{"token": {token}})
	return c, err
}

func (c *consoleClient) post(ctx context.Context, path string, values url.Values) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, strings.NewReader(values.Encode()))
	if err != nil {
		return 0, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	status, _, err := c.do(req)
	return status, err
}

func (c *consoleClient) do(req *http.Request) (int, string, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, "", errors.Wrap(err, "ask the console")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), errors.Wrap(err, "read the console's page")
}

// open reads the form and returns the rate that it shows.
func (c *consoleClient) open(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+racePagePath, nil)
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	status, body, err := c.do(req)
	if err != nil {
		return "", err
	}
	csrf, rate := csrfPattern.FindStringSubmatch(body), ratePattern.FindStringSubmatch(body)
	if csrf == nil || rate == nil {
		return "", errors.Errorf("the console answered %d without the form", status)
	}
	c.csrf = csrf[1]
	return html.UnescapeString(rate[1]), nil
}

// put sends the change of the rate and returns the status of the page that
// follows.
func (c *consoleClient) put(ctx context.Context, old, wanted string) (int, error) {
	edits, err := json.Marshal([]edit.Edit{{Field: racedField, Old: json.RawMessage(old), New: json.RawMessage(wanted)}})
	if err != nil {
		return 0, errors.Wrap(err, "encode edits")
	}
	return c.post(ctx, "/changes", url.Values{
		"csrf": {c.csrf}, "id": {uuid.NewString()}, "note": {"race"}, "edits": {string(edits)},
	})
}

// raceConsoles lets two operators change one field at the same moment through
// two nodes, and returns in how many races one was taken and the other was shown
// the conflict screen, with the taken value in force.
func raceConsoles(ctx context.Context, fleet *rig.Rig, token string) (int, error) {
	var clients [2]*consoleClient
	for i := range clients {
		var err error
		if clients[i], err = signIn(ctx, fleet.Nodes[i], token); err != nil {
			return 0, err
		}
	}
	decided := 0
	for race := range consoleRaces {
		ok, err := raceOnce(ctx, clients, race)
		if err != nil {
			return decided, err
		}
		if ok {
			decided++
		}
	}
	return decided, nil
}

func raceOnce(ctx context.Context, clients [2]*consoleClient, race int) (bool, error) {
	var opened, wanted [2]string
	for i, c := range clients {
		var err error
		if opened[i], err = c.open(ctx); err != nil {
			return false, err
		}
		wanted[i] = fmt.Sprint(5000 + 2*race + i)
	}
	var statuses [2]int
	group, groupCtx := errgroup.WithContext(ctx)
	for i, c := range clients {
		group.Go(func() error {
			var err error
			statuses[i], err = c.put(groupCtx, opened[i], wanted[i])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	now, err := clients[0].open(ctx)
	if err != nil {
		return false, err
	}
	first := statuses == [2]int{http.StatusOK, http.StatusConflict} && now == wanted[0]
	second := statuses == [2]int{http.StatusConflict, http.StatusOK} && now == wanted[1]
	return opened[0] == opened[1] && (first || second), nil
}
