package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/jsonc"
)

// Key is the key of a caller and the organisation that it belongs to.
type Key struct {
	Organisation string
	Secret       string
}

// AddOrganisations adds organisations with one key each to the document and
// returns the keys.
func AddOrganisations(doc *config.Document, count int, rate, burst float64) []Key {
	var keys []Key
	for i := range count {
		org := config.Organisation{ID: fmt.Sprintf("org-%d", i+1), Weight: 1, Rate: rate, Burst: burst}
		secret := config.NewKey()
		doc.Organisations = append(doc.Organisations, org)
		doc.Keys = append(doc.Keys, config.Key{
			ID: fmt.Sprintf("key-%d", i+1), Organisation: org.ID, Hash: config.HashKey(secret),
		})
		keys = append(keys, Key{Organisation: org.ID, Secret: secret})
	}
	return keys
}

// AddService adds a service with one route under /<service>/ to the document.
// A non-nil edit modifies the default route before it is added.
func AddService(doc *config.Document, service string, edit func(*config.Route)) {
	route := config.Route{
		ID: service, Method: "*", Path: "/" + service + "/", Service: service,
		Idempotent: true, OpenTo: []string{config.AllOrganisations}, Importance: 5,
		Deadline: jsonc.Duration(5 * time.Second), RetryBudget: 2,
		MaxRequestBytes: 1 << 20, MaxAnswerBytes: 32 << 20,
	}
	if edit != nil {
		edit(&route)
	}
	doc.Services = append(doc.Services, config.Service{ID: service})
	doc.Routes = append(doc.Routes, route)
}

// AddDomains adds the failure domains of the nodes to the document. The first
// one, in the store's region, gets twice the weight of the others.
func AddDomains(doc *config.Document, nodes []rig.NodeSpec) {
	seen := map[string]bool{}
	for _, node := range nodes {
		if seen[node.FailureDomain] {
			continue
		}
		seen[node.FailureDomain] = true
		domain := config.FailureDomain{ID: node.FailureDomain, Region: node.Region, Weight: 1}
		if len(doc.Domains) == 0 {
			domain.Weight = 2
		}
		doc.Domains = append(doc.Domains, domain)
	}
}

// Regions and failure domains of the emulated fleets.
var (
	riga       = []string{"riga-a", "riga-b"}
	jurmala    = []string{"jurmala-a", "jurmala-b"}
	placements = []struct{ region, domain string }{
		{"riga", riga[0]}, {"jurmala", jurmala[0]}, {"riga", riga[1]}, {"jurmala", jurmala[1]},
	}
)

// SpreadVMs returns count VMs of the service, distributed over the regions and
// failure domains in turn.
func SpreadVMs(service string, count, slots int, behaviour standin.Behaviour) []rig.NodeSpec {
	specs := make([]rig.NodeSpec, 0, count)
	for i := range count {
		place := placements[i%len(placements)]
		specs = append(specs, rig.NodeSpec{
			VM:            fmt.Sprintf("%s-%d", service, i+1),
			FailureDomain: place.domain, Region: place.region,
			Service: service, Slots: slots, Connections: 4 * slots, Behaviour: behaviour,
		})
	}
	return specs
}

// newHTTPClient returns an HTTP client with its own connection pool.
func newHTTPClient(timeout time.Duration) *http.Client {
	const idle = 512
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: idle},
	}
}

// getStatus sends a GET request with a key, reads the whole response and returns
// its status and the value of its reason header.
func getStatus(ctx context.Context, client *http.Client, target string, key Key) (status int, reason string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+key.Secret)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(call.HeaderReason), err
}
