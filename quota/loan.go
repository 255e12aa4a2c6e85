package quota

import "time"

const (
	// maxLoanDuration bounds a loan, so that its share is soon available to others.
	maxLoanDuration = time.Second
	// loanMargin shortens a loan to allow for the drift of both clocks.
	loanMargin = time.Duration(2*ClockDrift*float64(maxLoanDuration)) + time.Millisecond
	// minBorrowInterval is the minimum time between two rounds of Borrow messages.
	minBorrowInterval = 50 * time.Millisecond
	// minLoanRate is the smallest missing rate, in requests a second, that a holder
	// without waiting requests borrows.
	minLoanRate = 0.5
)

// Borrow is a holder's message to another holder while its owner does not answer.
type Borrow struct {
	Organisation string `cbor:"1,keyasint"`
	// Number identifies the message; at most one answer to it is accepted.
	Number uint64 `cbor:"2,keyasint"`
	// Share is what the borrower lacks. Tokens is what it could spend now.
	Share  Share   `cbor:"3,keyasint"`
	Tokens float64 `cbor:"4,keyasint"`
	// Limit is the limit that the borrower knows.
	Limit Limit `cbor:"5,keyasint"`
}

// Loan is a part of the lender's share. Until the loan ends the lender does not
// use it and reports it as held, so the owner need not know about loans.
type Loan struct {
	Number uint64  `cbor:"1,keyasint"`
	Share  Share   `cbor:"2,keyasint"`
	Tokens float64 `cbor:"3,keyasint"`
	// For is how long the loan is valid, measured by the borrower from when it sent
	// the Borrow message.
	For time.Duration `cbor:"4,keyasint"`
}

// lent is a loan as recorded by the lender. toReturn is the share that the lender
// gets back at the end, which is less than share if the limit was lowered meanwhile.
type lent struct {
	share, toReturn Share
	until           time.Time
}

// borrowed is a loan as recorded by the borrower.
type borrowed struct {
	bucket bucket
	until  time.Time
}

// loans records what a holder has lent and borrowed.
type loans struct {
	lent     []lent
	borrowed []borrowed
	// number is the number of the last Borrow message. askedAt has the send times of
	// those not answered yet.
	number  uint64
	askedAt map[uint64]time.Time
	// borrowSentAt is when the last round of Borrow messages was sent.
	borrowSentAt time.Time
}

// lentTotal returns the sum of all lent shares.
func (l *loans) lentTotal() (sum Share) {
	for _, loan := range l.lent {
		sum.Rate += loan.share.Rate
		sum.Burst += loan.share.Burst
	}
	return sum
}

// expire removes expired loans and returns the sum of the shares that the lender
// gets back.
func (l *loans) expire(now time.Time) (returned Share) {
	kept := l.lent[:0]
	for _, loan := range l.lent {
		if now.Before(loan.until) {
			kept = append(kept, loan)
			continue
		}
		returned.Rate += loan.toReturn.Rate
		returned.Burst += loan.toReturn.Burst
	}
	l.lent = kept
	active := l.borrowed[:0]
	for _, loan := range l.borrowed {
		if now.Before(loan.until) {
			loan.bucket.advance(now)
			active = append(active, loan)
		}
	}
	l.borrowed = active
	return returned
}

// shrink reduces all loans by the factors of a lowered limit.
func (l *loans) shrink(rate, burst float64) {
	for i := range l.lent {
		l.lent[i].toReturn.Rate *= rate
		l.lent[i].toReturn.Burst *= burst
	}
	for i := range l.borrowed {
		b := &l.borrowed[i].bucket
		b.resize(b.rate*rate, b.capacity*burst)
	}
}

// take removes one borrowed token and reports whether there was one.
func (l *loans) take() bool {
	for i := range l.borrowed {
		if l.borrowed[i].bucket.take() {
			return true
		}
	}
	return false
}

// borrowedTotal returns the sums of all borrowed shares and tokens.
func (l *loans) borrowedTotal() (share Share, tokens float64) {
	for _, loan := range l.borrowed {
		share.Rate += loan.bucket.rate
		share.Burst += loan.bucket.capacity
		tokens += loan.bucket.tokens
	}
	return share, tokens
}

// untilToken returns the time until a borrowed bucket has a whole token.
func (l *loans) untilToken() (shortest time.Duration, ok bool) {
	for i := range l.borrowed {
		if wait, refills := l.borrowed[i].bucket.untilToken(); refills && (!ok || wait < shortest) {
			shortest, ok = wait, true
		}
	}
	return shortest, ok
}

// OwnerUnresponsive reports whether an Ask has failed or timed out and the owner has
// answered none since.
func (h *Holder) OwnerUnresponsive() bool { return h.unresponsive }

// Borrow returns messages for the given number of lenders if the owner does not
// answer and this holder is low on tokens, at most once in minBorrowInterval.
func (h *Holder) Borrow(now time.Time, waiting, lenders int) []Borrow {
	if !h.unresponsive || now.Sub(h.loans.borrowSentAt) < minBorrowInterval {
		return nil
	}
	h.advance(now)
	h.demand.decay(now)
	request, low := h.shortfall(waiting)
	if !low {
		return nil
	}
	h.loans.borrowSentAt = now
	requests := make([]Borrow, lenders)
	for i := range requests {
		h.loans.number++
		h.loans.askedAt[h.loans.number] = now
		requests[i] = request
		requests[i].Number = h.loans.number
	}
	return requests
}

// shortfall returns what the holder lacks and whether it is low on tokens.
func (h *Holder) shortfall(waiting int) (request Borrow, low bool) {
	share, tokens := h.loans.borrowedTotal()
	tokens += h.bucket.tokens
	demand := h.demand.rate
	request = Borrow{Organisation: h.organisation, Limit: h.limit}
	if waiting == 0 && tokens >= demand*lowWatermark.Seconds() {
		return request, false
	}
	request.Share.Rate = max(0, demand*(1+headroom)-share.Rate-h.bucket.rate)
	request.Share.Burst = max(0, demand*coverTime.Seconds()-share.Burst-h.bucket.capacity)
	request.Tokens = max(0, float64(waiting)+demand*keepTime.Seconds()-tokens)
	return request, waiting > 0 || request.Share.Rate >= minLoanRate
}

// Lend takes from this holder's share what it can spare for another holder. It
// returns an empty loan if there is nothing to spare.
func (h *Holder) Lend(now time.Time, request Borrow) (Loan, error) {
	if request.Limit != h.limit {
		return Loan{}, ErrLimit
	}
	h.advance(now)
	h.demand.decay(now)
	loan := Loan{Number: request.Number, For: min(h.lendableUntil().Sub(now), h.valid.Sub(now), maxLoanDuration) - loanMargin}
	if loan.For <= 0 {
		return Loan{Number: request.Number}, nil
	}
	loan.Share, loan.Tokens = h.spare(request)
	if loan.Share.Burst < 1 {
		return Loan{Number: request.Number}, nil
	}
	h.bucket.tokens -= loan.Tokens
	h.bucket.resize(h.bucket.rate-loan.Share.Rate, h.bucket.capacity-loan.Share.Burst)
	h.loans.lent = append(h.loans.lent, lent{share: loan.Share, toReturn: loan.Share, until: now.Add(loan.For + loanMargin)})
	return loan, nil
}

// lendableUntil returns the time until which the share is sure to be valid. A share
// that was extended by its arbiter may be replaced by the answer to a pending Ask,
// which expires earlier.
func (h *Holder) lendableUntil() time.Time {
	pending := h.askedAt.Add(softLease)
	if h.pending && pending.Before(h.expires) {
		return pending
	}
	return h.expires
}

// spare returns the part of the share and the tokens that the holder's own demand
// does not need. Tokens are lent together with as much burst.
func (h *Holder) spare(request Borrow) (Share, float64) {
	demand := h.demand.rate
	rate := max(0, h.bucket.rate-demand*(1+headroom))
	tokens := max(0, h.bucket.tokens-demand*keepTime.Seconds())
	burst := max(tokens, h.bucket.capacity-demand*coverTime.Seconds())
	share := Share{Rate: min(rate, request.Share.Rate), Burst: min(burst, max(1, request.Share.Burst, request.Tokens))}
	return share, min(tokens, request.Tokens, share.Burst)
}

// AddLoan adds a loan. It returns false if the loan was not asked for, is empty or has
// expired.
func (h *Holder) AddLoan(now time.Time, loan Loan) bool {
	askedAt, ok := h.loans.askedAt[loan.Number]
	if !ok {
		return false
	}
	delete(h.loans.askedAt, loan.Number)
	until := askedAt.Add(loan.For)
	if loan.Share.Burst < 1 || !now.Before(until) {
		return false
	}
	h.loans.borrowed = append(h.loans.borrowed, borrowed{
		bucket: bucket{rate: loan.Share.Rate, capacity: loan.Share.Burst, tokens: min(loan.Tokens, loan.Share.Burst), updatedAt: now},
		until:  until,
	})
	return true
}

// CancelBorrow makes the holder ignore a late answer to a Borrow message that failed.
func (h *Holder) CancelBorrow(number uint64) { delete(h.loans.askedAt, number) }
