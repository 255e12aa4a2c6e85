// Package recovered reports panics that a server has recovered from.
package recovered

import (
	"fmt"
	"runtime/debug"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Reporter logs and counts the panics of one server's handlers. It is safe for
// concurrent use.
type Reporter struct {
	log    log.Interface
	panics prometheus.Counter
}

// NewReporter returns the reporter of a server. The name is that of the server in the
// metric and the logs. The registerer may be nil.
func NewReporter(server string, logger log.Interface, registerer prometheus.Registerer) *Reporter {
	r := &Reporter{
		log: logger.WithField("server", server),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mangomast_recovered_panics_total", ConstLabels: prometheus.Labels{"server": server},
			Help: "Panics in handlers of requests, by server. Each is a fault of the program.",
		}),
	}
	if registerer != nil {
		registerer.MustRegister(r.panics)
	}
	return r
}

// Report logs and counts a panic. It must be called by the deferred function that
// recovered from it, so that the stack is that of the panic.
func (r *Reporter) Report(cause any, fields log.Fields) {
	r.panics.Inc()
	r.log.WithFields(fields).WithFields(log.Fields{"panic": fmt.Sprint(cause), "stack": string(debug.Stack())}).
		Error("handler panicked; its request is not answered")
}
