package console

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/operator"
)

// quarantineContent is the content of the page that lists requests that crash
// upstreams.
type quarantineContent struct {
	Rows []quarantineRow
	// Unheard has the services for which no VM answered.
	Unheard []string
}

// quarantineRow is a suspected or quarantined request, with the times of day at
// which its suspicion or quarantine began and expires.
type quarantineRow struct {
	operator.QuarantineRecord
	Since, Until string
}

// newQuarantineContent converts the durations of the records, which are relative
// to now, to times of day.
func newQuarantineContent(response *operator.QuarantineResponse, now time.Time) quarantineContent {
	content := quarantineContent{Unheard: response.Unheard}
	for _, record := range response.Records {
		content.Rows = append(content.Rows, quarantineRow{
			QuarantineRecord: record,
			Since:            formatClockTime(now, -record.SinceSeconds),
			Until:            formatClockTime(now, record.LeftSeconds),
		})
	}
	return content
}

func formatClockTime(now time.Time, seconds float64) string {
	return now.Add(time.Duration(seconds * float64(time.Second))).UTC().Format("15:04:05 UTC")
}

func (m *Module) showQuarantine(c echo.Context) error {
	response := m.service.Quarantine(c.Request().Context(), "")
	return m.render(c, http.StatusOK, "quarantine.html", "Quarantine", newQuarantineContent(response, m.clock.Now()))
}

func (m *Module) liftQuarantine(c echo.Context) error {
	err := m.service.LiftQuarantine(c.Request().Context(), c.FormValue("service"), c.FormValue("fingerprint"), sessionOf(c).operator)
	if err != nil {
		return m.renderError(c, err)
	}
	return c.Redirect(http.StatusSeeOther, "/quarantine")
}
