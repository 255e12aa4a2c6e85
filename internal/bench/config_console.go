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
	// consoleRaces is the number of times that two operators concurrently submit
	// a form for the same field, through the consoles of two nodes.
	consoleRaces = 20
	racedField   = "/organisations/org-1/rate"
)

// consoleClient is an operator's session at the console of one node.
type consoleClient struct {
	base string
	http *http.Client
	csrf string
}

var (
	csrfPattern  = regexp.MustCompile(`name="csrf" value="([^"]+)"`)
	ratePattern  = regexp.MustCompile(`name="old\.rate" value="([^"]+)"`)
	raceFormPath = "/part/organisations/edit/org-1"
)

func signIn(ctx context.Context, node *rig.Node, token string) (*consoleClient, error) {
	jar, err := cookiejar.New(nil)
	if err != nil {
		return nil, errors.Wrap(err, "create cookie jar")
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
		return 0, "", errors.Wrap(err, "send request to console")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), errors.Wrap(err, "read console page")
}

// openForm loads the form, records its CSRF token and returns the rate that it
// displays.
func (c *consoleClient) openForm(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+raceFormPath, nil)
	if err != nil {
		return "", errors.Wrap(err, "build request")
	}
	status, body, err := c.do(req)
	if err != nil {
		return "", err
	}
	csrf, rate := csrfPattern.FindStringSubmatch(body), ratePattern.FindStringSubmatch(body)
	if csrf == nil || rate == nil {
		return "", errors.Errorf("console response with status %d does not contain the form", status)
	}
	c.csrf = csrf[1]
	return html.UnescapeString(rate[1]), nil
}

// submitChange submits a change of the rate and returns the HTTP status of the
// response.
func (c *consoleClient) submitChange(ctx context.Context, old, wanted string) (int, error) {
	edits, err := json.Marshal([]edit.Edit{{Field: racedField, Old: json.RawMessage(old), New: json.RawMessage(wanted)}})
	if err != nil {
		return 0, errors.Wrap(err, "encode edits")
	}
	return c.post(ctx, "/changes", url.Values{
		"csrf": {c.csrf}, "id": {uuid.NewString()}, "note": {"race"}, "edits": {string(edits)},
	})
}

// raceConsoles has two operators change one field concurrently through two
// nodes. It returns the number of races in which one change was committed, its
// value is the one displayed afterwards, and the other operator was shown the
// conflict page.
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
		if opened[i], err = c.openForm(ctx); err != nil {
			return false, err
		}
		wanted[i] = fmt.Sprint(5000 + 2*race + i)
	}
	var statuses [2]int
	group, groupCtx := errgroup.WithContext(ctx)
	for i, c := range clients {
		group.Go(func() error {
			var err error
			statuses[i], err = c.submitChange(groupCtx, opened[i], wanted[i])
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return false, err
	}
	displayed, err := clients[0].openForm(ctx)
	if err != nil {
		return false, err
	}
	firstWon := statuses == [2]int{http.StatusOK, http.StatusConflict} && displayed == wanted[0]
	secondWon := statuses == [2]int{http.StatusConflict, http.StatusOK} && displayed == wanted[1]
	return opened[0] == opened[1] && (firstWon || secondWon), nil
}
