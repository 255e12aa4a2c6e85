package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangomast/mangomast/call"
)

// recordOverhead is the size in bytes of a record without its texts and body.
const recordOverhead = 64

// Record is a closed ID, as a node that stops hands it on. Whoever holds it can
// give the answer again; only the pinned incarnation could run the request.
type Record struct {
	ID          string      `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Reply       call.Reply  `cbor:"3,keyasint"`
	Body        []byte      `cbor:"4,keyasint,omitempty"`
}

// Size returns about how many bytes the record takes.
func (r *Record) Size() int64 {
	size := recordOverhead + len(r.ID) + len(r.Reply.Message) + len(r.Body)
	for _, field := range r.Reply.Header {
		size += len(field.Name) + len(field.Value)
	}
	return int64(size)
}

// Closed returns the IDs that have an answer, the newest first, as far as they
// fit into maxBytes together. A body that does not fit is left out, and its
// record says so.
func (l *Ledger) Closed(maxBytes int64) []Record {
	newest := slices.SortedFunc(slices.Values(l.oldest), func(a, b *entry) int {
		return cmp.Or(b.minted.Compare(a.minted), cmp.Compare(a.id, b.id))
	})
	var records []Record
	for _, e := range newest {
		record := e.record(e.answer)
		if record.Size() > maxBytes {
			record = e.record(NotKept())
		}
		if record.Size() > maxBytes {
			break
		}
		maxBytes -= record.Size()
		records = append(records, record)
	}
	return records
}

// record leaves out what the reply said of the serving node's load.
func (e *entry) record(answer *Answer) Record {
	reply := *answer.Reply
	reply.Load, reply.Levels, reply.RetriesUsed = call.Load{}, nil, 0
	return Record{ID: e.id, Fingerprint: e.fingerprint, Reply: reply, Body: answer.Body}
}

// Adopt takes in the records of a node that stops, at the time now. Records
// that are malformed, too old or known are left out.
func (l *Ledger) Adopt(records []Record, now time.Time) {
	l.expire(now)
	for i := range records {
		l.adopt(&records[i])
	}
}

func (l *Ledger) adopt(record *Record) {
	id, err := ParseID(record.ID)
	if err != nil || !id.Minted().After(l.floor) || l.entries[record.ID] != nil {
		return
	}
	l.entries[record.ID] = &entry{id: record.ID, minted: id.Minted(), fingerprint: record.Fingerprint}
	reply := record.Reply
	reply.Settled = true
	l.Finish(record.ID, &Answer{Reply: &reply, Body: record.Body})
}

// Find returns the answer that is kept for an ID at the time now. Unlike
// Begin it never asks for a run.
func (l *Ledger) Find(text string, fingerprint Fingerprint, now time.Time) (*Answer, bool) {
	l.expire(now)
	known, ok := l.entries[text]
	switch {
	case !ok || known.answer == nil:
		return nil, false
	case known.fingerprint != fingerprint:
		return replay(conflict()).Answer, true
	}
	return known.answer, true
}
