package routing

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAnswerOfAnyLengthIsCharged guards against an answer of an upstream in another
// region that states a huge length and so keeps the balancer's mutex for years.
func TestAnswerOfAnyLengthIsCharged(t *testing.T) {
	for _, bytes := range []int{math.MinInt, -1, 0, 1 << 40, math.MaxInt} {
		done := make(chan struct{})
		go func() {
			defer close(done)
			b := newTestBalancer(1, func(o *Options) { o.Place = Place{FailureDomain: "jurmala-a", Region: "jurmala"} })
			candidates := entries(2, "riga-a")
			attempt := Attempt{Head: testHead, Now: testStart}
			for range 3 {
				entry, ok := b.Pick(attempt, candidates)
				assert.Check(t, ok)
				b.Begin(attempt, entry)
				reply := answered(http.StatusOK)
				reply.Length = int64(bytes)
				assert.Check(t, TransferredBytes(make([]byte, 10), reply) >= 10)
				b.Done(Result{Entry: entry, Head: attempt.Head, Reply: reply, Bytes: bytes, Now: testStart})
			}
		}()
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Fatalf("an answer of %d bytes is still charged after 1 s", bytes)
		}
	}
}
