package edit

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/store"
)

const (
	// HistoryPrefix starts the keys of past changes, after the store's prefix.
	HistoryPrefix = "history/"
	// HistoryLength is the number of changes that are kept.
	HistoryLength = 1000
	// settleDelay is the pause before a store that gave no answer is asked
	// again.
	settleDelay = 200 * time.Millisecond
	// reread is the pause before a document that changed while it was read is
	// read again.
	reread = 10 * time.Millisecond
	// readAttempts is how often a read is sent that gets no answer.
	readAttempts = 2
	// MaxValueBytes is the largest value that the store takes.
	MaxValueBytes = 1 << 20
)

// Change is one accepted write of the document, kept as history.
type Change struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
	Edits  []Edit    `json:"edits"`
	// Revision is the store's revision of the change.
	Revision int64 `json:"revision,omitempty"`
}

// Proposal is a change that an author asks for.
type Proposal struct {
	// ID makes the write unique; a proposal sent twice under one ID is
	// written once. Empty for a new one.
	ID     string
	Author string
	Note   string
	Edits  []Edit
}

// Current is the document as the store has it.
type Current struct {
	Document *config.Document
	Revision int64
	head     *config.Head
}

// Editor reads and changes the document in the store. It is safe for
// concurrent use; all methods block until the store has answered.
type Editor struct {
	store  store.Store
	prefix string
	clock  clockwork.Clock

	mu        sync.Mutex
	assembler *config.Assembler
}

// NewEditor returns an editor of the document below the store's prefix.
func NewEditor(s store.Store, prefix string, clock clockwork.Clock) *Editor {
	return &Editor{store: s, prefix: prefix, clock: clock, assembler: config.NewAssembler()}
}

// Read returns the document, ordered by id; an empty one at revision 0 if there
// is none. A store that does not answer is store.ErrUnavailable.
func (e *Editor) Read(ctx context.Context) (*Current, error) {
	for attempt := 1; ; {
		current, err := e.read(ctx)
		pause := reread
		switch {
		case errors.Is(err, config.ErrSectionChanged):
		case errors.Is(err, store.ErrOutcomeUnknown) && attempt < readAttempts:
			attempt++
			pause = settleDelay
		default:
			return current, unanswered(err)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(store.ErrUnavailable, "the document was not read in time")
		case <-e.clock.After(pause):
		}
	}
}

// unanswered turns a read without an answer into store.ErrUnavailable: a read
// changes nothing.
func unanswered(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return errors.Wrap(store.ErrUnavailable, "the store did not answer a read")
	}
	return err
}

func (e *Editor) read(ctx context.Context) (*Current, error) {
	listing, err := e.store.Get(ctx, e.prefix+config.DocumentKey)
	if err != nil {
		return nil, err
	}
	current := &Current{Document: &config.Document{}, head: &config.Head{}}
	if len(listing.Records) == 0 {
		return current, nil
	}
	current.Revision = listing.Records[0].ModRevision
	if current.head, err = config.ParseHead(listing.Records[0].Value); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	records, err := store.GetMany(ctx, e.store, e.prefix+config.SectionPrefix, e.assembler.Missing(current.head))
	if err != nil {
		return nil, err
	}
	for _, record := range records {
		if err := e.assembler.Add(record.Key, record.Value); err != nil {
			return nil, err
		}
	}
	if current.Document, err = e.assembler.Document(current.head); err != nil {
		return nil, err
	}
	current.Document.Sort()
	return current, nil
}

// Commit writes a proposal on top of the latest document. Writes whose answer
// was lost are settled by reading back; Commit returns store.ErrOutcomeUnknown
// only if the context ended before that. Other errors mean that nothing was
// written: *ConflictError, *finding.Error, ErrUnchanged or the store's.
func (e *Editor) Commit(ctx context.Context, p Proposal) (*Change, error) {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	unsettled := false
	for {
		current, err := e.Read(ctx)
		if err == nil {
			var change *Change
			change, err = e.attempt(ctx, current, p)
			if change != nil {
				return change, nil
			}
		}
		switch {
		case errors.Is(err, errRaced):
			continue
		case errors.Is(err, store.ErrOutcomeUnknown), unsettled && errors.Is(err, store.ErrUnavailable):
			unsettled = true
		case err != nil:
			return nil, e.explain(ctx, err, current)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(store.ErrOutcomeUnknown, "the change may or may not have been made; look at the history")
		case <-e.clock.After(settleDelay):
		}
	}
}

// errRaced means that another change was written first.
var errRaced = errors.New("another change was written first")

// attempt writes the proposal on top of the current document, unless it is
// part of it already.
func (e *Editor) attempt(ctx context.Context, current *Current, p Proposal) (*Change, error) {
	done, err := e.Made(ctx, p.ID, current)
	if done != nil || err != nil {
		return done, err
	}
	if same, err := unchanged(current.Document, p.Edits); same || err != nil {
		return nil, errors.WithStack(cmp.Or(err, ErrUnchanged))
	}
	doc, err := Apply(current.Document, p.Edits)
	if err != nil {
		return nil, err
	}
	change := &Change{
		Number: current.Document.Change.Number + 1, ID: p.ID, Author: p.Author, Note: p.Note,
		Time: e.clock.Now().UTC(), Edits: p.Edits,
	}
	doc.Change = config.Change{Number: change.Number, ID: change.ID, Recent: recent(current.Document.Change)}
	txn, err := e.txn(doc, change, current)
	if err != nil {
		return nil, err
	}
	result, err := e.store.Commit(ctx, txn)
	switch {
	case err != nil:
		return nil, err
	case !result.Succeeded:
		return nil, errRaced
	}
	change.Revision = result.Revision
	return change, nil
}

// recent returns the IDs of the last changes, newest first.
func recent(last config.Change) []string {
	if last.ID == "" {
		return nil
	}
	ids := append([]string{last.ID}, last.Recent...)
	return ids[:min(len(ids), config.RecentChanges)]
}

// txn writes the head, the sections that changed and the history, if nobody
// has written the head since.
func (e *Editor) txn(doc *config.Document, change *Change, base *Current) (store.Txn, error) {
	head, sections, err := doc.ChangedSections(base.Document, base.head)
	if err != nil {
		return store.Txn{}, err
	}
	value, err := head.Encode()
	if err != nil {
		return store.Txn{}, err
	}
	history, err := json.Marshal(change)
	if err != nil {
		return store.Txn{}, errors.Wrap(err, "encode change")
	}
	key := e.prefix + config.DocumentKey
	txn := store.Txn{
		Compares: []store.Compare{{Key: key, Revision: base.Revision}},
		Puts:     []store.Put{{Key: key, Value: value}, {Key: e.historyKey(change.Number), Value: history}},
	}
	for _, section := range sections {
		data, err := section.Encode()
		if err != nil {
			return store.Txn{}, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: e.prefix + config.SectionPrefix + section.Name, Value: data})
	}
	if change.Number > HistoryLength {
		txn.Deletes = []string{e.historyKey(change.Number - HistoryLength)}
	}
	return txn, checkSizes(txn)
}

// checkSizes refuses a transaction with a value that the store does not take.
func checkSizes(txn store.Txn) error {
	for _, put := range txn.Puts {
		if len(put.Value) > MaxValueBytes {
			return errors.Errorf("the change writes %d bytes under one key and the store takes %d; make it in several smaller changes",
				len(put.Value), MaxValueBytes)
		}
	}
	return nil
}

func (e *Editor) historyKey(number uint64) string {
	return fmt.Sprintf("%s%s%020d", e.prefix, HistoryPrefix, number)
}

// Made returns the change with the ID if it is among the latest of the current
// document, and nil if not.
func (e *Editor) Made(ctx context.Context, id string, current *Current) (*Change, error) {
	last := current.Document.Change
	if id == "" {
		return nil, nil
	}
	index := slices.Index(append([]string{last.ID}, last.Recent...), id)
	if index < 0 {
		return nil, nil
	}
	return e.change(ctx, last.Number-uint64(index))
}

func (e *Editor) change(ctx context.Context, number uint64) (*Change, error) {
	listing, err := e.store.Get(ctx, e.historyKey(number))
	if err != nil {
		return nil, unanswered(err)
	}
	if len(listing.Records) == 0 {
		return nil, errors.Errorf("change %d is not in the history, which has the last %d changes", number, HistoryLength)
	}
	return decodeChange(listing.Records[0])
}

func decodeChange(record store.Record) (*Change, error) {
	change := &Change{}
	if err := json.Unmarshal(record.Value, change); err != nil {
		return nil, errors.Wrapf(err, "decode %s", record.Key)
	}
	change.Revision = record.ModRevision
	return change, nil
}

// History returns the changes that are kept, newest first.
func (e *Editor) History(ctx context.Context) ([]*Change, error) {
	listing, err := e.store.List(ctx, e.prefix+HistoryPrefix)
	if err != nil {
		return nil, unanswered(err)
	}
	var changes []*Change
	for _, record := range slices.Backward(listing.Records) {
		change, err := decodeChange(record)
		if err != nil {
			return nil, err
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Replace makes the document equal to the wanted one, whatever others changed.
func (e *Editor) Replace(ctx context.Context, wanted *config.Document, author string) (*Change, error) {
	current, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	edits := Diff(current.Document, wanted)
	return e.Commit(ctx, Proposal{Author: author, Edits: edits})
}

// Inverse returns the edits that take a past change back.
func (e *Editor) Inverse(ctx context.Context, number uint64) ([]Edit, error) {
	change, err := e.change(ctx, number)
	if err != nil {
		return nil, err
	}
	return Invert(change.Edits), nil
}

// Undo proposes the inverse of a past change as a new one. Its ID and author
// are those of the proposal.
func (e *Editor) Undo(ctx context.Context, number uint64, p Proposal) (*Change, error) {
	var err error
	if p.Edits, err = e.Inverse(ctx, number); err != nil {
		return nil, err
	}
	p.Note = fmt.Sprintf("undo of change %d", number)
	return e.Commit(ctx, p)
}

// Merge returns the edits that a whole document asks for. The document's
// change number says which version it was made from; edits that others made
// since then are not taken back.
func (e *Editor) Merge(ctx context.Context, wanted *config.Document) ([]Edit, error) {
	current, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	base := current.Document
	for base.Change.Number > wanted.Change.Number {
		change, err := e.change(ctx, base.Change.Number)
		if err != nil {
			return nil, errors.Wrap(err, "the document was made from a version that is too old; run 'mangomast show' again")
		}
		number := base.Change.Number
		if base, err = Apply(base, Invert(change.Edits)); err != nil {
			return nil, errors.Wrapf(err, "take back change %d", number)
		}
		base.Change = config.Change{Number: number - 1}
	}
	return Diff(base, wanted), nil
}
