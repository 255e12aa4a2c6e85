package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/rig"
)

// warmTimeout bounds the wait for a fleet that has just started.
const warmTimeout = 30 * time.Second

// waitServing waits until each node answers a few requests in a row, so that
// owners, relays and members are settled before a load begins.
func waitServing(ctx context.Context, nodes []*rig.Node, key Key, path string) error {
	const inARow = 3
	ctx, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	client := newCaller(lyingDeadline)
	for _, node := range nodes {
		for good := 0; good < inARow; good++ {
			if err := get(ctx, client, "http://"+node.Callers+path, key); err == nil {
				continue
			} else if ctx.Err() != nil {
				return errors.Wrapf(err, "node %s does not serve", node.Spec.VM)
			}
			good = -1
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
