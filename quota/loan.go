package quota

import "time"

const (
	// maxLoan bounds a loan, so that what was lent can soon be lent to others.
	maxLoan = time.Second
	// loanMargin is taken off a loan for the drift of the two clocks.
	loanMargin = time.Duration(2*ClockDrift*float64(maxLoan)) + time.Millisecond
	// borrowGap is the least time between two rounds of borrowing.
	borrowGap = 50 * time.Millisecond
	// minLoan is the least rate, in requests a second, that is lent without
	// tokens.
	minLoan = 0.5
)

// Borrow is a holder's message to another one while its owner does not answer.
type Borrow struct {
	Organisation string `cbor:"1,keyasint"`
	// Number is that of the message; each gets one answer at most.
	Number uint64 `cbor:"2,keyasint"`
	// Share is what the borrower misses, and Tokens what it could spend now.
	Share  Share   `cbor:"3,keyasint"`
	Tokens float64 `cbor:"4,keyasint"`
	// Limit is the limit that the borrower knows.
	Limit Limit `cbor:"5,keyasint"`
}

// Loan is a part of the lender's share. The lender does not use it and reports
// it as held until the loan has ended, so the owner need not know of it.
type Loan struct {
	Number uint64  `cbor:"1,keyasint"`
	Share  Share   `cbor:"2,keyasint"`
	Tokens float64 `cbor:"3,keyasint"`
	// For is how long the loan is valid, counted by the borrower from when it
	// asked.
	For time.Duration `cbor:"4,keyasint"`
}

// lent is a loan on the lender's side. At its end the share returns, but for
// what a lowered limit has taken away since.
type lent struct {
	share, returns Share
	until          time.Time
}

// borrowed is a loan on the borrower's side.
type borrowed struct {
	bucket bucket
	until  time.Time
}

// loans are what a holder has lent and borrowed.
type loans struct {
	lent     []lent
	borrowed []borrowed
	// number is that of the last message; asked has the time of each that was
	// not answered yet.
	number     uint64
	asked      map[uint64]time.Time
	borrowedAt time.Time
}

// out returns the sum of what is lent.
func (l *loans) out() (sum Share) {
	for _, loan := range l.lent {
		sum.Rate += loan.share.Rate
		sum.Burst += loan.share.Burst
	}
	return sum
}

// end removes the loans that have ended and returns the sum of what returns to
// the lender.
func (l *loans) end(now time.Time) (returned Share) {
	kept := l.lent[:0]
	for _, loan := range l.lent {
		if now.Before(loan.until) {
			kept = append(kept, loan)
			continue
		}
		returned.Rate += loan.returns.Rate
		returned.Burst += loan.returns.Burst
	}
	l.lent = kept
	running := l.borrowed[:0]
	for _, loan := range l.borrowed {
		if now.Before(loan.until) {
			loan.bucket.advance(now)
			running = append(running, loan)
		}
	}
	l.borrowed = running
	return returned
}

// shrink takes in a lowered limit.
func (l *loans) shrink(rate, burst float64) {
	for i := range l.lent {
		l.lent[i].returns.Rate *= rate
		l.lent[i].returns.Burst *= burst
	}
	for i := range l.borrowed {
		b := &l.borrowed[i].bucket
		b.resize(b.rate*rate, b.capacity*burst)
	}
}

// take spends a borrowed token.
func (l *loans) take() bool {
	for i := range l.borrowed {
		if l.borrowed[i].bucket.take() {
			return true
		}
	}
	return false
}

// total returns the sums of what is borrowed.
func (l *loans) total() (share Share, tokens float64) {
	for _, loan := range l.borrowed {
		share.Rate += loan.bucket.rate
		share.Burst += loan.bucket.capacity
		tokens += loan.bucket.tokens
	}
	return share, tokens
}

// untilToken returns how long it takes to mint the next whole borrowed token.
func (l *loans) untilToken() (least time.Duration, ok bool) {
	for i := range l.borrowed {
		if wait, mints := l.borrowed[i].bucket.untilToken(); mints && (!ok || wait < least) {
			least, ok = wait, true
		}
	}
	return least, ok
}

// Failing reports whether the owner has not answered the last ask.
func (h *Holder) Failing() bool { return h.failing }

// Borrow returns messages to the given number of lenders, if the owner has not
// answered the last ask and this holder runs low.
func (h *Holder) Borrow(now time.Time, waiting, lenders int) []Borrow {
	if !h.failing || now.Sub(h.loans.borrowedAt) < borrowGap {
		return nil
	}
	h.advance(now)
	h.demand.decay(now)
	ask, low := h.missing(waiting)
	if !low {
		return nil
	}
	h.loans.borrowedAt = now
	asks := make([]Borrow, lenders)
	for i := range asks {
		h.loans.number++
		h.loans.asked[h.loans.number] = now
		asks[i] = ask
		asks[i].Number = h.loans.number
	}
	return asks
}

// missing returns what the holder misses, and whether it runs low.
func (h *Holder) missing(waiting int) (ask Borrow, low bool) {
	share, tokens := h.loans.total()
	tokens += h.bucket.tokens
	demand := h.demand.rate
	ask = Borrow{Organisation: h.organisation, Limit: h.limit}
	if waiting == 0 && tokens >= demand*lowWater.Seconds() {
		return ask, false
	}
	ask.Share.Rate = max(0, demand*(1+headroom)-share.Rate-h.bucket.rate)
	ask.Share.Burst = max(0, demand*coverTime.Seconds()-share.Burst-h.bucket.capacity)
	ask.Tokens = max(0, float64(waiting)+demand*keepTime.Seconds()-tokens)
	return ask, waiting > 0 || ask.Share.Rate >= minLoan
}

// Lend takes off this holder's share what it can spare for another one. An
// empty loan is none.
func (h *Holder) Lend(now time.Time, ask Borrow) (Loan, error) {
	if ask.Limit != h.limit {
		return Loan{}, ErrLimit
	}
	h.advance(now)
	h.demand.decay(now)
	loan := Loan{Number: ask.Number, For: min(h.lendable().Sub(now), h.valid.Sub(now), maxLoan) - loanMargin}
	if loan.For <= 0 {
		return Loan{Number: ask.Number}, nil
	}
	loan.Share, loan.Tokens = h.spare(ask)
	if loan.Share.Burst < 1 {
		return Loan{Number: ask.Number}, nil
	}
	h.bucket.tokens -= loan.Tokens
	h.bucket.resize(h.bucket.rate-loan.Share.Rate, h.bucket.capacity-loan.Share.Burst)
	h.loans.lent = append(h.loans.lent, lent{share: loan.Share, returns: loan.Share, until: now.Add(loan.For + loanMargin)})
	return loan, nil
}

// lendable returns until when the share lasts whatever comes. The answer to an
// ask that is pending may end a share earlier that its arbiter has extended.
func (h *Holder) lendable() time.Time {
	pending := h.askedAt.Add(softLease)
	if h.pending && pending.Before(h.expires) {
		return pending
	}
	return h.expires
}

// spare returns the part of the share and the tokens that the holder's own
// demand leaves. Tokens go with as much burst.
func (h *Holder) spare(ask Borrow) (Share, float64) {
	demand := h.demand.rate
	rate := max(0, h.bucket.rate-demand*(1+headroom))
	tokens := max(0, h.bucket.tokens-demand*keepTime.Seconds())
	burst := max(tokens, h.bucket.capacity-demand*coverTime.Seconds())
	share := Share{Rate: min(rate, ask.Share.Rate), Burst: min(burst, max(1, ask.Share.Burst, ask.Tokens))}
	return share, min(tokens, ask.Tokens, share.Burst)
}

// TakeLoan takes in a loan and reports whether it did.
func (h *Holder) TakeLoan(now time.Time, loan Loan) bool {
	asked, ok := h.loans.asked[loan.Number]
	if !ok {
		return false
	}
	delete(h.loans.asked, loan.Number)
	until := asked.Add(loan.For)
	if loan.Share.Burst < 1 || !now.Before(until) {
		return false
	}
	h.loans.borrowed = append(h.loans.borrowed, borrowed{
		bucket: bucket{rate: loan.Share.Rate, capacity: loan.Share.Burst, tokens: min(loan.Tokens, loan.Share.Burst), at: now},
		until:  until,
	})
	return true
}

// ForgetBorrow voids the answer to a message that was not answered.
func (h *Holder) ForgetBorrow(number uint64) { delete(h.loans.asked, number) }
