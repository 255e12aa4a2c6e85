package bench

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"
)

func init() {
	Register(Case{Name: "overload-sweep", Help: "the overload case with one parameter changed at a time", Run: runOverloadSweep})
}

// maxParallelFleets is the number of fleets that run concurrently.
const maxParallelFleets = 3

// sweepMode returns a mode with the given settings of one module.
func sweepMode(module, settings string) overloadMode {
	return overloadMode{
		name:    module + " " + settings,
		modules: map[string]json.RawMessage{module: json.RawMessage(settings)},
	}
}

func runOverloadSweep(ctx context.Context, env *Env) (*Report, error) {
	modes := []overloadMode{
		{name: "defaults"},
		sweepMode("inbound", `{"max_wait": "25ms"}`),
		sweepMode("inbound", `{"max_wait": "400ms"}`),
		sweepMode("inbound", `{"queue_share": 0.125}`),
		sweepMode("inbound", `{"queue_share": 2}`),
		sweepMode("inbound", `{"growth": 1}`),
		sweepMode("inbound", `{"growth": 16}`),
		sweepMode("ingress", `{"hold": "100ms", "fade": "250ms"}`),
		sweepMode("ingress", `{"hold": "2s", "fade": "4s"}`),
	}
	rows := make([]overloadRow, len(modes))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelFleets)
	for i, mode := range modes {
		group.Go(func() (err error) {
			rows[i], err = measureOverload(groupCtx, env, mode)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return overloadReport(rows), nil
}
