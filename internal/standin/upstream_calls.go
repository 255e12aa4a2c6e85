package standin

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
)

// callWithRetries calls another service and retries failed calls.
func (u *Upstream) callWithRetries(r *http.Request, target string, b Behaviour) error {
	for retries := b.ChildRetries; ; retries-- {
		err := u.callOnce(r, target, time.Duration(b.ChildTimeoutMicros)*time.Microsecond)
		if err == nil || retries <= 0 || r.Context().Err() != nil {
			return err
		}
	}
}

// resolveTarget returns the URL of a target, see Behaviour.Callees.
func (u *Upstream) resolveTarget(target string) string {
	urls := strings.Fields(target)
	if len(urls) == 0 || !strings.Contains(urls[0], "://") {
		return u.egress + target
	}
	return urls[rand.IntN(len(urls))]
}

func (u *Upstream) callOnce(r *http.Request, target string, timeout time.Duration) error {
	ctx := r.Context()
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.resolveTarget(target), nil)
	if err != nil {
		return errors.Wrap(err, "build call")
	}
	req.Header.Set(call.HeaderContext, r.Header.Get(call.HeaderContext))
	req.Header.Set(HeaderTestID, r.Header.Get(HeaderTestID))
	resp, err := u.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call "+target)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "read answer of "+target)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("call %s answered %s", target, resp.Status)
	}
	return nil
}
