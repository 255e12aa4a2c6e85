package roster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/mesh"
)

// departurePeers is the number of nodes that are asked at once to write or read
// departures.
const departurePeers = 3

// departureRequest asks a node to write a departure of the sender's VM to the store, or
// to read those that are there. The store may turn the sender away and serve others.
type departureRequest struct {
	// Write is the departure to be written; nil to read.
	Write *membership.Departure `cbor:"1,keyasint,omitempty"`
}

// departureAnswer has what was read. A node that could not reach the store answers with
// an error.
type departureAnswer struct {
	Departures []membership.Departure `cbor:"1,keyasint,omitempty"`
}

func (m *Module) serveDepartures(ctx context.Context, from mesh.Identity, request departureRequest) (departureAnswer, error) {
	if request.Write != nil {
		return departureAnswer{}, m.storeDeparture(ctx, from.VM, *request.Write)
	}
	departures, err := m.listDepartures(ctx, from.VM)
	return departureAnswer{Departures: departures}, err
}

// storeThroughPeers has another node write the departure, and reports whether one has.
func (m *Module) storeThroughPeers(ctx context.Context, departed membership.Departure) bool {
	_, ok := m.askPeers(ctx, departureRequest{Write: &departed}, departurePeerTimeout)
	return ok
}

// readThroughPeers has another node read the departures of this VM, and reports whether
// one has.
func (m *Module) readThroughPeers(ctx context.Context) ([]membership.Departure, bool) {
	answer, ok := m.askPeers(ctx, departureRequest{}, departureReadTimeout)
	return answer.Departures, ok
}

// askPeers sends the request to some nodes and returns the first answer, and false if
// there is none within the timeout.
func (m *Module) askPeers(ctx context.Context, request departureRequest, timeout time.Duration) (departureAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peers := m.correspondents()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(departurePeers, len(peers))]
	answers := make(chan *departureAnswer, len(peers))
	for _, peer := range peers {
		go func() {
			var answer departureAnswer
			err := m.mesh.Exchange(ctx, mesh.Peer{VM: peer.VM, Address: peer.MeshAddress}, mesh.KindDepartures, request, &answer)
			if err != nil {
				m.log.WithError(err).WithField("peer", peer.VM).Debug("peer neither wrote nor read departures")
				answers <- nil
				return
			}
			answers <- &answer
		}()
	}
	for range peers {
		if answer := <-answers; answer != nil {
			return *answer, true
		}
	}
	return departureAnswer{}, false
}
