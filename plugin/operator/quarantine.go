package operator

import (
	"encoding/hex"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/ledger"
	"github.com/mangomast/mangomast/operator"
)

// registerQuarantine adds the pages about requests that crash upstreams.
func (m *Module) registerQuarantine(api *echo.Group) {
	api.GET(operator.PathQuarantine, m.serveQuarantine)
	api.DELETE(operator.PathQuarantine+"/:service/:fingerprint", m.serveLift)
}

func (m *Module) serveQuarantine(c echo.Context) error {
	records, err := m.quarantine.List(c.Request().Context(), c.QueryParam("service"))
	if err != nil {
		return c.JSON(http.StatusBadGateway, operator.Problem{Message: err.Error()})
	}
	list := make([]operator.QuarantineRecord, 0, len(records))
	for _, r := range records {
		list = append(list, operator.QuarantineRecord{
			Fingerprint: hex.EncodeToString(r.Fingerprint[:]), Kind: r.Kind.String(), VM: r.ID.VM,
			Organisation: r.Organisation, Route: r.Route, AgeSeconds: r.Age.Seconds(),
		})
	}
	return c.JSON(http.StatusOK, list)
}

func (m *Module) serveLift(c echo.Context) error {
	var fingerprint ledger.Fingerprint
	raw, err := hex.DecodeString(c.Param("fingerprint"))
	if err != nil || len(raw) != len(fingerprint) {
		return c.JSON(http.StatusBadRequest, operator.Problem{Message: "the fingerprint must be 32 hexadecimal digits"})
	}
	copy(fingerprint[:], raw)
	lifted, err := m.quarantine.Lift(c.Request().Context(), c.Param("service"), fingerprint)
	if err != nil {
		return c.JSON(http.StatusBadGateway, operator.Problem{Message: err.Error()})
	}
	if !lifted {
		return c.JSON(http.StatusNotFound, operator.Problem{Message: "the service has no such suspect or quarantine"})
	}
	m.log.WithField("operator", author(c)).WithField("fingerprint", c.Param("fingerprint")).Info("quarantine was lifted")
	return c.JSON(http.StatusOK, operator.LiftAnswer{Fingerprint: c.Param("fingerprint")})
}
