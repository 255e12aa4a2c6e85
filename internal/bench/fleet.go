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

// Key is a caller's key with its organisation.
type Key struct {
	Organisation string
	Secret       string
}

// NewOrganisations adds organisations with one key each to the document.
func NewOrganisations(doc *config.Document, count int, rate, burst float64) []Key {
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

// AddDomains lists the failure domains of the nodes in the document. The
// first one, in the store's region, weighs double.
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

// regions and failure domains of the dispatch desk.
var (
	riga   = []string{"riga-a", "riga-b"}
	jurma  = []string{"jurmala-a", "jurmala-b"}
	places = []struct{ region, domain string }{
		{"riga", riga[0]}, {"jurmala", jurma[0]}, {"riga", riga[1]}, {"jurmala", jurma[1]},
	}
)

// Spread returns count VMs of the service, spread over regions and domains.
func Spread(service string, count, slots int, behaviour standin.Behaviour) []rig.NodeSpec {
	specs := make([]rig.NodeSpec, 0, count)
	for i := range count {
		place := places[i%len(places)]
		specs = append(specs, rig.NodeSpec{
			VM:            fmt.Sprintf("%s-%d", service, i+1),
			FailureDomain: place.domain, Region: place.region,
			Service: service, Slots: slots, Connections: 4 * slots, Behaviour: behaviour,
		})
	}
	return specs
}

// newCaller returns an HTTP client with its own connections.
func newCaller(timeout time.Duration) *http.Client {
	const idle = 512
	return &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{MaxIdleConnsPerHost: idle, MaxIdleConns: idle},
	}
}

// getStatus sends a request with a key, reads the whole answer, and returns
// its status and the reason that mangomast gave.
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
