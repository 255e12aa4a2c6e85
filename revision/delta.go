package revision

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

const (
	// sectionLines is the mean number of lines in a section.
	sectionLines = 16
	// maxSectionBytes bounds a section.
	maxSectionBytes = 8 << 10
)

// Piece is a part of a value's delta: a range of sections of the base value, or
// new bytes.
type Piece struct {
	_     struct{} `cbor:",toarray"`
	From  int
	Count int
	Data  []byte
}

// ValueDelta describes the change of one value from the base revision to a
// later one.
type ValueDelta struct {
	Name     string `cbor:"1,keyasint"`
	Revision int64  `cbor:"2,keyasint"`
	// Sum is the XXH3 hash of the resulting value.
	Sum    uint64  `cbor:"3,keyasint"`
	Pieces []Piece `cbor:"4,keyasint"`
}

// Delta describes the change from the state at the base revision to a later
// one. Values that are not listed are unchanged. Base 0 is the empty state, so
// a delta with base 0 contains the whole stream.
type Delta struct {
	Base     int64        `cbor:"1,keyasint"`
	Revision int64        `cbor:"2,keyasint"`
	Values   []ValueDelta `cbor:"3,keyasint"`
}

// split divides data into sections by content-defined chunking at line ends, so
// that a change affects only the boundaries of nearby sections.
func split(data []byte) [][]byte {
	var sections [][]byte
	start, lineStart := 0, 0
	for lineStart < len(data) {
		end := lineEnd(data, lineStart)
		full := end-start >= maxSectionBytes
		if full || xxh3.Hash(data[lineStart:end])%sectionLines == 0 {
			sections = append(sections, data[start:end])
			start = end
		}
		lineStart = end
	}
	if start < len(data) {
		sections = append(sections, data[start:])
	}
	return sections
}

func lineEnd(data []byte, from int) int {
	limit := min(len(data), from+maxSectionBytes)
	if i := bytes.IndexByte(data[from:limit], '\n'); i >= 0 {
		return from + i + 1
	}
	return limit
}

// Diff returns the delta from one state to a later one; from may be nil.
func Diff(from, to *State) *Delta {
	delta := &Delta{Revision: to.Revision}
	if from != nil {
		delta.Base = from.Revision
	}
	for _, v := range to.Values {
		base := from.Value(v.Name)
		if base.Revision == v.Revision {
			continue
		}
		delta.Values = append(delta.Values, ValueDelta{
			Name: v.Name, Revision: v.Revision, Sum: xxh3.Hash(v.Data), Pieces: diff(base.Data, v.Data),
		})
	}
	return delta
}

// DeltaSince returns the delta from the state at an earlier revision, without
// access to that state. It contains the full data of each value that changed
// since. This is correct because a value's data changes only with its revision.
func DeltaSince(to *State, held int64) *Delta {
	delta := &Delta{Base: held, Revision: to.Revision}
	for _, v := range to.Values {
		if v.Revision <= held {
			continue
		}
		delta.Values = append(delta.Values, ValueDelta{
			Name: v.Name, Revision: v.Revision, Sum: xxh3.Hash(v.Data), Pieces: []Piece{{Data: v.Data}},
		})
	}
	return delta
}

func diff(base, target []byte) []Piece {
	index := map[xxh3.Uint128]int{}
	for i, section := range split(base) {
		index[xxh3.Hash128(section)] = i
	}
	var pieces []Piece
	for _, section := range split(target) {
		last := len(pieces) - 1
		from, known := index[xxh3.Hash128(section)]
		switch {
		case known && last >= 0 && pieces[last].Count > 0 && pieces[last].From+pieces[last].Count == from:
			pieces[last].Count++
		case known:
			pieces = append(pieces, Piece{From: from, Count: 1})
		case last >= 0 && pieces[last].Count == 0:
			pieces[last].Data = append(pieces[last].Data, section...)
		default:
			pieces = append(pieces, Piece{Data: bytes.Clone(section)})
		}
	}
	return pieces
}

// Apply returns the state that results from applying a delta to an earlier
// state, which may be nil. It returns an error if the base differs or the result
// does not match the delta's hashes and revision; the caller then has to
// request the whole stream.
func Apply(from *State, delta *Delta) (*State, error) {
	if delta.Base != 0 && (from == nil || from.Revision != delta.Base) {
		return nil, errors.Errorf("delta is based on revision %d, which is not held by this node", delta.Base)
	}
	if delta.Base == 0 {
		from = nil
	}
	changed := map[string]bool{}
	var values []Value
	for _, d := range delta.Values {
		data, err := patch(from.Value(d.Name).Data, d.Pieces)
		if err != nil {
			return nil, errors.Wrap(err, d.Name)
		}
		if xxh3.Hash(data) != d.Sum {
			return nil, errors.Errorf("hash mismatch after applying the delta of %s", d.Name)
		}
		changed[d.Name] = true
		values = append(values, Value{Name: d.Name, Revision: d.Revision, Data: data})
	}
	if from != nil {
		for _, v := range from.Values {
			if !changed[v.Name] {
				values = append(values, v)
			}
		}
	}
	state := NewState(values)
	if state.Revision != delta.Revision {
		return nil, errors.Errorf("delta results in revision %d, expected %d", state.Revision, delta.Revision)
	}
	return state, nil
}

func patch(base []byte, pieces []Piece) ([]byte, error) {
	sections := split(base)
	var data []byte
	for _, p := range pieces {
		if p.From < 0 || p.Count < 0 || p.Count > len(sections) || p.From > len(sections)-p.Count {
			return nil, errors.New("delta refers to sections that the base does not have")
		}
		for _, section := range sections[p.From : p.From+p.Count] {
			data = append(data, section...)
		}
		data = append(data, p.Data...)
	}
	return data, nil
}
