package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configsnapshot"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Head is the offset and digest that a process has in force. A process never
// relays an offset that it only knows from others: an offset that no process has
// in force would otherwise circulate for ever.
type Head struct {
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
}

// FetchRequest asks a peer for the records after the requester's state.
type FetchRequest struct {
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
}

// FetchResponse answers a FetchRequest: the records that follow, or the complete
// state if the peer no longer holds those records.
type FetchResponse struct {
	Head    Head     `json:"head"`
	Records []Record `json:"records,omitempty"`
	State   []byte   `json:"state,omitempty"`
}

// peers holds what a reader knows about other processes.
type peers struct {
	heads map[string]Head
	// reportedOffset is the highest offset reported by agents or by peers that have
	// since disconnected.
	reportedOffset int64
	// queried is true once every queried peer has answered or failed.
	queried bool
	// behindSince is when this reader fell behind the known offset; zero while it
	// is not behind.
	behindSince time.Time
	diverged    map[string]bool
}

func newPeers() peers {
	return peers{heads: make(map[string]Head), reportedOffset: -1, diverged: make(map[string]bool)}
}

func (p *peers) knownOffset() int64 { return max(p.reportedOffset, p.highestPeerOffset()) }

// highestPeerOffset returns the highest offset that a connected peer has in force, -1 if
// there is none.
func (p *peers) highestPeerOffset() int64 {
	highest := int64(-1)
	for _, h := range p.heads {
		highest = max(highest, h.Offset)
	}
	return highest
}

// clearIfReached clears behindSince if the offset is not behind the known one.
func (p *peers) clearIfReached(offset int64) {
	if offset >= p.knownOffset() {
		p.behindSince = time.Time{}
	}
}

// KnownOffset returns the highest offset known to be in force anywhere, and the
// time since which this reader has been behind it.
func (r *Reader) KnownOffset() (int64, time.Time) {
	return max(r.peers.knownOffset(), r.state.Offset), r.peers.behindSince
}

// Head returns the head that this reader announces to its peers.
func (r *Reader) Head() Head {
	return Head{Offset: r.state.Offset, Digest: r.state.Digest}
}

// MarkPeersQueried records that every queried peer has answered or failed.
func (r *Reader) MarkPeersQueried() { r.peers.queried = true }

// NoteAgentOffset records an offset that an agent reports as in force.
func (r *Reader) NoteAgentOffset(now time.Time, offset int64) {
	r.peers.reportedOffset = max(r.peers.reportedOffset, offset)
	r.noteIfBehind(now)
}

// NotePeerHead records the head that a peer has announced.
func (r *Reader) NotePeerHead(now time.Time, peer string, h Head) {
	if r.disabled.peers {
		return
	}
	if r.diverges(h) {
		r.markDiverged(peer)
		return
	}
	delete(r.peers.diverged, peer)
	r.peers.heads[peer] = h
	r.noteIfBehind(now)
	r.completeFromPeers()
}

// ForgetPeer removes a peer. Its offset still counts as known to be in force.
func (r *Reader) ForgetPeer(peer string) {
	if h, ok := r.peers.heads[peer]; ok {
		r.peers.reportedOffset = max(r.peers.reportedOffset, h.Offset)
	}
	delete(r.peers.heads, peer)
}

// noteIfBehind starts the staleness clock if this reader is behind.
func (r *Reader) noteIfBehind(now time.Time) {
	if r.peers.knownOffset() > r.state.Offset && r.peers.behindSince.IsZero() {
		r.peers.behindSince = now
	}
}

// diverges reports whether a peer with this head has folded different records
// up to the same offset. Heads outside of the local history cannot be compared.
func (r *Reader) diverges(h Head) bool {
	if h.Offset == r.state.Offset {
		return h.Digest != r.state.Digest
	}
	_, digest, ok := r.history.after(h.Offset)
	return ok && digest != h.Digest
}

// markDiverged marks a peer as diverged and ignores its head.
func (r *Reader) markDiverged(peer string) {
	delete(r.peers.heads, peer)
	if !r.peers.diverged[peer] {
		r.peers.diverged[peer] = true
		r.events = append(r.events, Event{DivergedPeer: peer})
	}
}

// DivergedPeerCount returns the number of peers whose records differ.
func (r *Reader) DivergedPeerCount() int { return len(r.peers.diverged) }

// NextFetch returns the peer to fetch from and the request, or false if no fetch
// is due. The peer with the highest offset is chosen.
func (r *Reader) NextFetch(now time.Time) (string, FetchRequest, bool) {
	due := r.condition != Following || now.Sub(r.peers.behindSince) >= FetchDelay
	best, offset := "", r.state.Offset
	for peer, h := range r.peers.heads {
		if h.Offset > offset || h.Offset == offset && best != "" && peer < best {
			best, offset = peer, h.Offset
		}
	}
	if best == "" || !due || r.condition == NewerRecord {
		return "", FetchRequest{}, false
	}
	return best, FetchRequest{r.state.Offset, r.state.Digest}, true
}

// ServeFetch answers a peer's FetchRequest. The error has the kind LogRegressed if
// the peer has different records in force.
func (r *Reader) ServeFetch(f FetchRequest) (FetchResponse, error) {
	reply := FetchResponse{Head: r.Head()}
	if f.Offset >= r.state.Offset {
		return reply, nil
	}
	records, digest, ok := r.history.after(f.Offset)
	if ok && digest != f.Digest {
		return reply, problem.New(problem.LogRegressed, "find out which of the two instances follows the right log",
			"this instance has different records in force up to offset %d", f.Offset)
	}
	if ok {
		reply.Records = records
		return reply, nil
	}
	data, err := configsnapshot.EncodeState(r.state)
	reply.State = data
	return reply, err
}

// ApplyFetchResponse applies a peer's response to a request. It is ignored if the
// state has changed since the request.
func (r *Reader) ApplyFetchResponse(now time.Time, peer string, f FetchRequest, reply FetchResponse) {
	if f.Offset != r.state.Offset || f.Digest != r.state.Digest {
		return
	}
	if reply.State != nil {
		r.applyPeerState(peer, reply.State)
	}
	for _, rec := range reply.Records {
		if rec.Offset != r.state.Offset+1 || !r.fold(rec.Offset, rec.Data) {
			break
		}
	}
	r.NotePeerHead(now, peer, reply.Head)
}

// completeFromPeers marks the configuration as complete on the evidence of a peer, if a
// read of the log was attempted and did not supply it.
func (r *Reader) completeFromPeers() {
	if r.complete || r.condition == Starting || !r.reachedKnown() {
		return
	}
	for _, h := range r.peers.heads {
		if h.Offset >= 0 && h.Offset == r.state.Offset {
			r.complete = true
		}
	}
}

func (r *Reader) applyPeerState(peer string, data []byte) {
	s, err := configsnapshot.DecodeState(data)
	switch {
	case problem.Is(err, problem.NewerRecord):
		r.setCondition(NewerRecord, problem.Of(err).Detail)
	case err != nil:
		r.HandleFetchError(peer, err)
	default:
		r.adopt(s)
	}
}

// HandleFetchError records a failed fetch from a peer.
func (r *Reader) HandleFetchError(peer string, err error) {
	if problem.Is(err, problem.LogRegressed) {
		r.markDiverged(peer)
		return
	}
	r.ForgetPeer(peer)
}

func (r *Reader) reachedKnown() bool {
	known, _ := r.KnownOffset()
	return r.state.Offset >= known
}
