package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/mangomast/mangomast/call"
)

// recordOverhead is the size in bytes of a record without its strings and body.
const recordOverhead = 64

// Record is a finished request that a stopping node hands over to another node.
// The receiver can replay the answer but not run the request, which only the
// pinned incarnation may do.
type Record struct {
	ID          string      `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Reply       call.Reply  `cbor:"3,keyasint"`
	Body        []byte      `cbor:"4,keyasint,omitempty"`
}

// Size returns the approximate size of the record in bytes.
func (r *Record) Size() int64 {
	size := recordOverhead + len(r.ID) + len(r.Reply.Message) + len(r.Body)
	for _, field := range r.Reply.Header {
		size += len(field.Name) + len(field.Value)
	}
	return int64(size)
}

// Export returns the records of finished requests, newest first, up to a total
// size of maxBytes. A record whose body does not fit contains DroppedAnswer
// instead.
func (l *Ledger) Export(maxBytes int64) []Record {
	newest := slices.SortedFunc(slices.Values(l.finished), func(a, b *entry) int {
		return cmp.Or(b.minted.Compare(a.minted), cmp.Compare(a.id, b.id))
	})
	var records []Record
	for _, e := range newest {
		record := e.record(e.answer)
		if record.Size() > maxBytes {
			record = e.record(DroppedAnswer())
		}
		if record.Size() > maxBytes {
			break
		}
		maxBytes -= record.Size()
		records = append(records, record)
	}
	return records
}

// record returns the entry as a Record with the given answer. It omits the
// load, levels and retries that the reply reports about the node that served it.
func (e *entry) record(answer *Answer) Record {
	reply := *answer.Reply
	reply.Load, reply.Levels, reply.RetriesUsed = call.Load{}, nil, 0
	return Record{ID: e.id, Fingerprint: e.fingerprint, Reply: reply, Body: answer.Body}
}

// Import adds the records of a stopping node to the ledger at the time now.
// Records that are malformed, expired or already present are ignored.
func (l *Ledger) Import(records []Record, now time.Time) {
	l.expire(now)
	for i := range records {
		l.importRecord(&records[i])
	}
}

func (l *Ledger) importRecord(record *Record) {
	id, err := ParseID(record.ID)
	if err != nil || !id.Minted().After(l.watermark) || l.entries[record.ID] != nil {
		return
	}
	l.entries[record.ID] = &entry{id: record.ID, minted: id.Minted(), fingerprint: record.Fingerprint}
	reply := record.Reply
	reply.Final = true
	l.Finish(record.ID, &Answer{Reply: &reply, Body: record.Body})
}

// Find returns the answer recorded for an ID at the time now. Unlike Begin, it
// never decides that the request runs.
func (l *Ledger) Find(text string, fingerprint Fingerprint, now time.Time) (*Answer, bool) {
	l.expire(now)
	existing, ok := l.entries[text]
	switch {
	case !ok || existing.answer == nil:
		return nil, false
	case existing.fingerprint != fingerprint:
		return replayDecision(conflictReply()).Answer, true
	}
	return existing.answer, true
}
