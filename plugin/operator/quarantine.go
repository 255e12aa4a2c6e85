package operator

import (
	"cmp"
	"context"
	"encoding/hex"
	"net/http"
	"slices"
	"sync"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/quarantine"
)

// maxConcurrentLists limits the number of services that are queried
// concurrently.
const maxConcurrentLists = 8

var (
	errInvalidFingerprint = errors.New("the fingerprint must be 32 hexadecimal digits")
	errNotQuarantined     = errors.New("the service has no such suspect or quarantine; list them again")
)

// registerQuarantine registers the endpoints that list and lift the quarantine
// of requests that crash upstreams.
func (m *Module) registerQuarantine(api *echo.Group) {
	api.GET(operator.PathQuarantine, m.serveQuarantine)
	api.DELETE(operator.PathQuarantine+"/:service/:fingerprint", m.serveLift)
}

func (m *Module) serveQuarantine(c echo.Context) error {
	return c.JSON(http.StatusOK, m.service.Quarantine(c.Request().Context(), c.QueryParam("service")))
}

func (m *Module) serveLift(c echo.Context) error {
	service, fingerprint := c.Param("service"), c.Param("fingerprint")
	err := m.service.LiftQuarantine(c.Request().Context(), service, fingerprint, operatorID(c))
	status := http.StatusBadGateway
	switch {
	case err == nil:
		return c.JSON(http.StatusOK, operator.LiftResponse{Fingerprint: fingerprint})
	case errors.Is(err, errInvalidFingerprint):
		status = http.StatusBadRequest
	case errors.Is(err, errNotQuarantined):
		status = http.StatusNotFound
	}
	return c.JSON(status, operator.Problem{Message: err.Error()})
}

// Quarantine lists the suspected and quarantined requests of a service, or of
// every service of the document if service is empty. It blocks until the VMs
// have answered or a short timeout has passed.
func (s *Service) Quarantine(ctx context.Context, service string) *operator.QuarantineResponse {
	services := []string{service}
	if service == "" {
		services = s.services()
	}
	response := &operator.QuarantineResponse{Records: []operator.QuarantineRecord{}}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrentLists)
	for _, name := range services {
		group.Go(func() error {
			list, err := s.quarantine.List(ctx, name)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				response.Unheard = append(response.Unheard, name)
			}
			for i := range list {
				response.Records = append(response.Records, quarantineRecord(name, &list[i]))
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(response.Unheard)
	slices.SortStableFunc(response.Records, func(a, b operator.QuarantineRecord) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.SinceSeconds, b.SinceSeconds))
	})
	return response
}

// services returns the IDs of the services in the current document.
func (s *Service) services() []string {
	snapshot := s.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	var ids []string
	for _, service := range snapshot.Document.Services {
		ids = append(ids, service.ID)
	}
	return ids
}

func quarantineRecord(service string, summary *quarantine.Summary) operator.QuarantineRecord {
	return operator.QuarantineRecord{
		Fingerprint: hex.EncodeToString(summary.Fingerprint[:]), Kind: summary.Kind.String(),
		Service: service, Organisation: summary.Organisation, Route: summary.Route,
		Crashes: summary.Crashes, VMs: summary.VMs,
		SinceSeconds: summary.Since.Seconds(), LeftSeconds: summary.Left.Seconds(),
	}
}

// LiftQuarantine removes the suspicion or quarantine of the requests with the
// fingerprint, which is in hexadecimal, and logs the author.
func (s *Service) LiftQuarantine(ctx context.Context, service, fingerprintHex, author string) error {
	var fingerprint ledger.Fingerprint
	raw, err := hex.DecodeString(fingerprintHex)
	if err != nil || len(raw) != len(fingerprint) {
		return errInvalidFingerprint
	}
	copy(fingerprint[:], raw)
	lifted, err := s.quarantine.Lift(ctx, service, fingerprint)
	if err != nil {
		return err
	}
	if !lifted {
		return errNotQuarantined
	}
	s.log.WithField("operator", author).WithField("service", service).WithField("fingerprint", fingerprintHex).Info("quarantine was lifted")
	return nil
}
