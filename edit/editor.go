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
	// HistoryPrefix is the prefix of the store keys of past changes, after the
	// store's prefix.
	HistoryPrefix = "history/"
	// HistoryLength is the number of changes that the history retains.
	HistoryLength = 1000
	// retryDelay is the delay before a request to the store that got no
	// response is retried.
	retryDelay = 200 * time.Millisecond
	// rereadDelay is the delay before the document is read again after it
	// changed during the read.
	rereadDelay = 10 * time.Millisecond
	// readAttempts is the maximum number of attempts of a read that gets no
	// response.
	readAttempts = 2
	// MaxValueBytes is the maximum size of a value in the store.
	MaxValueBytes = 1 << 20
)

// Change is a committed write of the document, as stored in the history.
type Change struct {
	Number uint64    `json:"number"`
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Note   string    `json:"note,omitempty"`
	Time   time.Time `json:"time"`
	Edits  []Edit    `json:"edits"`
	// Revision is the store revision at which the change was committed.
	Revision int64 `json:"revision,omitempty"`
}

// Proposal is a change that an author requests.
type Proposal struct {
	// ID makes the proposal idempotent: proposals with the same ID are
	// committed once. If empty, Commit generates an ID.
	ID     string
	Author string
	Note   string
	Edits  []Edit
}

// StoredDocument is the document as read from the store.
type StoredDocument struct {
	Document *config.Document
	Revision int64
	head     *config.Head
}

// Editor reads and changes the document in the store. It is safe for
// concurrent use. All methods block until the store has responded.
type Editor struct {
	store  store.Store
	prefix string
	clock  clockwork.Clock

	mu        sync.Mutex
	assembler *config.Assembler
}

// NewEditor returns an editor for the document under the given key prefix.
func NewEditor(s store.Store, prefix string, clock clockwork.Clock) *Editor {
	return &Editor{store: s, prefix: prefix, clock: clock, assembler: config.NewAssembler()}
}

// Read returns the document, ordered by ID. If there is none, it returns an
// empty document at revision 0. If the store does not respond, it returns
// store.ErrUnavailable.
func (e *Editor) Read(ctx context.Context) (*StoredDocument, error) {
	for attempt := 1; ; {
		current, err := e.readOnce(ctx)
		delay := rereadDelay
		switch {
		case errors.Is(err, config.ErrSectionChanged):
		case errors.Is(err, store.ErrOutcomeUnknown) && attempt < readAttempts:
			attempt++
			delay = retryDelay
		default:
			return current, asUnavailable(err)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(store.ErrUnavailable, "the document was not read in time")
		case <-e.clock.After(delay):
		}
	}
}

// asUnavailable converts the error of a read that got no response to
// store.ErrUnavailable. The outcome of a read is never unknown, since it
// changes nothing.
func asUnavailable(err error) error {
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return errors.Wrap(store.ErrUnavailable, "the store did not answer a read")
	}
	return err
}

// readOnce reads the head and the sections that are not cached. It returns
// config.ErrSectionChanged if another change was committed in between.
func (e *Editor) readOnce(ctx context.Context) (*StoredDocument, error) {
	listing, err := e.store.Get(ctx, e.prefix+config.DocumentKey)
	if err != nil {
		return nil, err
	}
	current := &StoredDocument{Document: &config.Document{}, head: &config.Head{}}
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

// Commit applies a proposal to the latest document and writes the result. If
// the response to the write is lost, Commit reads the document again to find
// out whether the change was committed. It returns store.ErrOutcomeUnknown only
// if the context ends before that is known. All other errors mean that nothing
// was written: *ConflictError, *finding.Error, ErrUnchanged or an error of the
// store.
func (e *Editor) Commit(ctx context.Context, p Proposal) (*Change, error) {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	outcomeUnknown := false
	for {
		current, err := e.Read(ctx)
		if err == nil {
			var change *Change
			change, err = e.tryCommit(ctx, current, p)
			if change != nil {
				return change, nil
			}
		}
		switch {
		case errors.Is(err, errConcurrentChange):
			continue
		case errors.Is(err, store.ErrOutcomeUnknown), outcomeUnknown && errors.Is(err, store.ErrUnavailable):
			outcomeUnknown = true
		case err != nil:
			return nil, e.attributeConflicts(ctx, err, current)
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(store.ErrOutcomeUnknown, "the change may or may not have been made; look at the history")
		case <-e.clock.After(retryDelay):
		}
	}
}

// errConcurrentChange is returned if another change was committed between the
// read and the write.
var errConcurrentChange = errors.New("another change was written first")

// tryCommit applies the proposal to the current document and writes the
// result. If the document already contains the proposal, it returns the
// earlier change.
func (e *Editor) tryCommit(ctx context.Context, current *StoredDocument, p Proposal) (*Change, error) {
	earlier, err := e.FindChange(ctx, p.ID, current)
	if earlier != nil || err != nil {
		return earlier, err
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
	doc.Change = config.Change{Number: change.Number, ID: change.ID, Recent: recentIDs(current.Document.Change)}
	txn, err := e.txn(doc, change, current)
	if err != nil {
		return nil, err
	}
	result, err := e.store.Commit(ctx, txn)
	switch {
	case err != nil:
		return nil, err
	case !result.Succeeded:
		return nil, errConcurrentChange
	}
	change.Revision = result.Revision
	return change, nil
}

// recentIDs returns the IDs of the last change and those before it, newest
// first.
func recentIDs(last config.Change) []string {
	if last.ID == "" {
		return nil
	}
	ids := append([]string{last.ID}, last.Recent...)
	return ids[:min(len(ids), config.RecentChanges)]
}

// txn returns the transaction that writes the head, the changed sections and
// the history entry. It succeeds only if the head has not been modified since
// it was read.
func (e *Editor) txn(doc *config.Document, change *Change, base *StoredDocument) (store.Txn, error) {
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
	return txn, checkValueSizes(txn)
}

// checkValueSizes returns an error if a value in the transaction is too large
// for the store.
func checkValueSizes(txn store.Txn) error {
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

// FindChange returns the change with the given ID, or nil if it is not among
// the recent changes of the current document.
func (e *Editor) FindChange(ctx context.Context, id string, current *StoredDocument) (*Change, error) {
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

// change reads a past change from the history.
func (e *Editor) change(ctx context.Context, number uint64) (*Change, error) {
	listing, err := e.store.Get(ctx, e.historyKey(number))
	if err != nil {
		return nil, asUnavailable(err)
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

// History returns the retained changes, newest first.
func (e *Editor) History(ctx context.Context) ([]*Change, error) {
	listing, err := e.store.List(ctx, e.prefix+HistoryPrefix)
	if err != nil {
		return nil, asUnavailable(err)
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

// Replace commits the edits that make the current document equal to the wanted
// one. Unlike Merge, it also reverts the changes of others.
func (e *Editor) Replace(ctx context.Context, wanted *config.Document, author string) (*Change, error) {
	current, err := e.Read(ctx)
	if err != nil {
		return nil, err
	}
	edits := Diff(current.Document, wanted)
	return e.Commit(ctx, Proposal{Author: author, Edits: edits})
}

// Inverse returns the edits that revert a past change.
func (e *Editor) Inverse(ctx context.Context, number uint64) ([]Edit, error) {
	change, err := e.change(ctx, number)
	if err != nil {
		return nil, err
	}
	return Invert(change.Edits), nil
}

// Undo commits the inverse of a past change as a new change, with the ID and
// author of the proposal.
func (e *Editor) Undo(ctx context.Context, number uint64, p Proposal) (*Change, error) {
	var err error
	if p.Edits, err = e.Inverse(ctx, number); err != nil {
		return nil, err
	}
	p.Note = fmt.Sprintf("undo of change %d", number)
	return e.Commit(ctx, p)
}

// Merge returns the edits that the wanted document makes to the version that
// it is based on, which is identified by its change number. Changes that others
// made since that version are not reverted.
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
