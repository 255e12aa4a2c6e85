// Package mesh is the transport between nodes. It multiplexes requests as CBOR
// frames over WebSocket connections that are authenticated by the fleet secret.
//
// A link connects a dialing node to an accepting one. It has at most one
// connection per Class, so that control messages, calls and bulk data do not
// block each other. The part of a body beyond InlineBytes is sent in chunks under
// credit-based flow control: on the bulk connection or, for control messages, on
// their own.
package mesh

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Class is a class of traffic that has its own connection.
type Class uint8

// Classes of connections.
const (
	Control Class = iota
	Calls
	Bulk
	numClasses
)

// String returns the value of the class label in metrics.
func (c Class) String() string {
	if c >= numClasses {
		return "invalid"
	}
	return [...]string{"control", "calls", "bulk"}[c]
}

// Kind selects the handler that serves a request.
type Kind uint16

// Kinds of requests.
const (
	KindCall Kind = iota + 1
	KindMembers
	KindRevision
	KindQuota
	KindAnswer
	KindOperator
	// KindQuotaRecall asks a quota holder to return the tokens that it can spare;
	// KindQuota carries a holder's requests to the owner.
	KindQuotaRecall Kind = 30
	// KindQuotaHandover hands over an owner's state to the next owner.
	KindQuotaHandover Kind = 31
	// KindQuotaLoan asks another holder to lend a part of its share.
	KindQuotaLoan Kind = 32
	// KindQuotaExtend and KindQuotaClose ask an arbiter to decide whether a
	// share remains valid: the holder asks to extend it, the owner to close it.
	KindQuotaExtend Kind = 33
	KindQuotaClose  Kind = 34
)

// KindClaim requests or completes the right to send a request that the caller
// may submit through several nodes.
const KindClaim Kind = 50

// KindIdempotencyKey asks a claim writer to map an idempotency key to a request
// ID.
const KindIdempotencyKey Kind = 51

// Kinds of requests of fleets whose nodes discover each other through the store
// only: KindRoster exchanges entries, KindDocument requests the configuration,
// KindPool requests a part of an organisation's rate limit, and KindDepartures writes
// or reads departures for a node that the store turns away.
const (
	KindRoster     Kind = 60
	KindDocument   Kind = 61
	KindPool       Kind = 62
	KindDepartures Kind = 63
)

// KindLevels requests the admission levels of the services that a route calls.
const KindLevels Kind = 55

// KindQuarantine exchanges quarantine records of requests that crash upstreams.
const KindQuarantine Kind = 40

// Kinds of requests for the answers of stopping nodes: KindHandover hands them
// over, KindHandoverLookup looks one up.
const (
	KindHandover       Kind = 41
	KindHandoverLookup Kind = 42
)

// Kinds of requests for membership and for the progress of a configuration
// revision.
const (
	KindProbe Kind = iota + 20
	KindDirectory
	KindProgress
)

// String returns the value of the purpose label in metrics.
func (k Kind) String() string {
	switch k {
	case KindRoster, KindDepartures:
		return "roster"
	case KindDocument:
		return "document"
	case KindPool:
		return "pool"
	case KindLevels:
		return "levels"
	case KindQuarantine:
		return "quarantine"
	case KindClaim, KindIdempotencyKey:
		return "claims"
	case KindHandover, KindHandoverLookup:
		return "answers"
	case KindQuota, KindQuotaRecall, KindQuotaHandover, KindQuotaLoan, KindQuotaExtend, KindQuotaClose:
		return "quota"
	case KindMembers, KindProbe, KindDirectory:
		return "membership"
	case KindRevision, KindProgress:
		return "revision"
	}
	return "other"
}

const (
	// InlineBytes is the size of the part of a body that is sent in the first
	// frame; smaller bodies need no chunks.
	InlineBytes = 32 << 10
	// maxFrameBytes is the maximum size of a frame; a larger one closes the
	// connection.
	maxFrameBytes = 4 << 20
	// MaxRequestBytes is the maximum size of a request body.
	MaxRequestBytes = 8 << 20
	// bodyMemoryBytes bounds the chunked request bodies that a node receives or
	// serves at once. It leaves most of the smallest VM's memory (184 MB) to
	// other uses.
	bodyMemoryBytes = 32 << 20
	// bodyMemoryWait is how long a chunked body waits for memory. Then its
	// request is aborted before the body is sent, so that it can go elsewhere.
	bodyMemoryWait = 200 * time.Millisecond
	// windowBytes is the flow control window of a chunked body.
	windowBytes = 512 << 10
	// answerMemoryBytes bounds the windows of the chunked answers that a node
	// receives at once, so that callers which do not read cannot exhaust its memory.
	// Answers that come while it is used up have windows of minWindowBytes.
	answerMemoryBytes = 16 << 20
	minWindowBytes    = 32 << 10
)

type frameType uint8

const (
	frameRequest frameType = iota + 1
	frameAnswer
	frameChunk
	frameCredit
	frameCancel
	frameAbort
)

// frame is one message on a connection. It is encoded as a CBOR array.
type frame struct {
	_    struct{} `cbor:",toarray"`
	Type frameType
	// Stream identifies the request on its link; the dialing side assigns it.
	Stream uint64
	// ToAcceptor is true for frames sent by the dialer. It distinguishes the
	// two bodies of a stream.
	ToAcceptor bool
	// Kind is the kind of a request, in a request frame.
	Kind Kind
	// Head is the encoded head of a request or an answer.
	Head []byte
	// Data is a part of the body; End is true for the last part.
	Data []byte
	End  bool
	// Sum is the XXH3 hash of the whole body, sent with End. In a request frame
	// without End it is the length of the body, so that the receiver can reserve
	// memory for it.
	Sum uint64
	// Credit is the number of bytes granted, in a credit frame.
	Credit int
	// Message is the error, in an abort frame.
	Message string
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of a message.
func Encode(message any) ([]byte, error) {
	data, err := encMode.Marshal(message)
	return data, errors.Wrapf(err, "encode %T", message)
}

// Decode decodes a CBOR message strictly: indefinite lengths, tags and duplicate
// map keys are errors.
func Decode(data []byte, message any) error {
	return errors.Wrapf(decMode.Unmarshal(data, message), "decode %T", message)
}

func decodeFrame(data []byte) (*frame, error) {
	f := &frame{}
	if err := Decode(data, f); err != nil {
		return nil, err
	}
	if f.Type < frameRequest || f.Type > frameAbort {
		return nil, errors.Errorf("unknown frame type %d", f.Type)
	}
	if f.Credit < 0 || f.Credit > windowBytes {
		return nil, errors.Errorf("credit of %d bytes is out of range", f.Credit)
	}
	return f, nil
}
