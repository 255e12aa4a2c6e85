package bench

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/rig"
)

// servingTimeout bounds the wait until a fleet that has just started serves
// requests.
const servingTimeout = 30 * time.Second

// waitServing waits until each node serves a few consecutive requests, so that
// owners, relays and membership are settled before the load begins.
func waitServing(ctx context.Context, nodes []*rig.Node, key Key, path string) error {
	const consecutive = 3
	ctx, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	client := newHTTPClient(lyingDeadline)
	for _, node := range nodes {
		for successes := 0; successes < consecutive; successes++ {
			if err := getOK(ctx, client, "http://"+node.Callers+path, key); err == nil {
				continue
			} else if ctx.Err() != nil {
				return errors.Wrapf(err, "node %s does not serve requests", node.Spec.VM)
			}
			successes = -1
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
