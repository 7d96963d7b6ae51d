package configread

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configsnapshot"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Head is what a process has in force. Only what is in force is passed on, not
// what was heard: a claim that nobody can show would otherwise last for ever.
type Head struct {
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
}

// FetchRequest asks a peer for what follows the asker's state.
type FetchRequest struct {
	Offset int64             `json:"offset"`
	Digest configfold.Digest `json:"digest"`
}

// FetchResponse answers a Fetch: the records that follow, or a whole state where the
// peer does not hold them any more.
type FetchResponse struct {
	Head    Head     `json:"head"`
	Records []Record `json:"records,omitempty"`
	State   []byte   `json:"state,omitempty"`
}

// peers is what a reader knows of other processes.
type peers struct {
	heads map[string]Head
	// claimed is the highest offset that agents have been given.
	claimed int64
	// asked is true after every chosen peer has answered or failed once.
	asked bool
	// behindSince is when this reader came to be behind a known offset.
	behindSince time.Time
	diverged    map[string]bool
}

func newPeers() peers {
	return peers{heads: make(map[string]Head), claimed: -1, diverged: make(map[string]bool)}
}

func (p *peers) known() int64 { return max(p.claimed, p.held()) }

// held is the highest offset that a connected peer has in force.
func (p *peers) held() int64 {
	held := int64(-1)
	for _, h := range p.heads {
		held = max(held, h.Offset)
	}
	return held
}

func (p *peers) reached(offset int64) {
	if offset >= p.known() {
		p.behindSince = time.Time{}
	}
}

// KnownOffset returns the highest offset known to be in force anywhere, and since
// when this reader is behind it.
func (r *Reader) KnownOffset() (int64, time.Time) {
	return max(r.peers.known(), r.state.Offset), r.peers.behindSince
}

// Head returns what this reader tells its peers.
func (r *Reader) Head() Head {
	return Head{Offset: r.state.Offset, Digest: r.state.Digest}
}

// MarkPeersQueried notes that every chosen peer has answered or failed once.
func (r *Reader) MarkPeersQueried() { r.peers.asked = true }

// NoteAgentOffset notes an offset that an agent has been given.
func (r *Reader) NoteAgentOffset(now time.Time, offset int64) {
	r.peers.claimed = max(r.peers.claimed, offset)
	r.noteKnown(now)
}

// NotePeerHead notes what a peer has in force.
func (r *Reader) NotePeerHead(now time.Time, peer string, h Head) {
	if r.off.peers {
		return
	}
	if r.divergesAt(h) {
		r.drop(peer)
		return
	}
	delete(r.peers.diverged, peer)
	r.peers.heads[peer] = h
	r.noteKnown(now)
	r.settle()
}

// ForgetPeer forgets a peer. What was known to be in force stays known.
func (r *Reader) ForgetPeer(peer string) {
	if h, ok := r.peers.heads[peer]; ok {
		r.peers.claimed = max(r.peers.claimed, h.Offset)
	}
	delete(r.peers.heads, peer)
}

func (r *Reader) noteKnown(now time.Time) {
	if r.peers.known() > r.state.Offset && r.peers.behindSince.IsZero() {
		r.peers.behindSince = now
	}
}

// divergesAt reports whether a head is of other records than those in force.
func (r *Reader) divergesAt(h Head) bool {
	if h.Offset == r.state.Offset {
		return h.Digest != r.state.Digest
	}
	_, digest, ok := r.history.after(h.Offset)
	return ok && digest != h.Digest
}

// drop notes that a peer has other records in force. Its head does not count.
func (r *Reader) drop(peer string) {
	delete(r.peers.heads, peer)
	if !r.peers.diverged[peer] {
		r.peers.diverged[peer] = true
		r.events = append(r.events, Event{DivergedPeer: peer})
	}
}

// DivergedPeerCount counts the peers that have other records in force.
func (r *Reader) DivergedPeerCount() int { return len(r.peers.diverged) }

// NextFetch returns the peer to fetch from now, if any.
func (r *Reader) NextFetch(now time.Time) (string, FetchRequest, bool) {
	late := r.condition != Following || now.Sub(r.peers.behindSince) >= FetchDelay
	best, offset := "", r.state.Offset
	for peer, h := range r.peers.heads {
		if h.Offset > offset || h.Offset == offset && best != "" && peer < best {
			best, offset = peer, h.Offset
		}
	}
	if best == "" || !late || r.condition == NewerRecord {
		return "", FetchRequest{}, false
	}
	return best, FetchRequest{r.state.Offset, r.state.Digest}, true
}

// ServeFetch answers a peer's Fetch. The error has the kind LogRegressed where the
// peer has other records in force.
func (r *Reader) ServeFetch(f FetchRequest) (FetchResponse, error) {
	reply := FetchResponse{Head: r.Head()}
	if f.Offset >= r.state.Offset {
		return reply, nil
	}
	records, digest, ok := r.history.after(f.Offset)
	if ok && digest != f.Digest {
		return reply, problem.New(problem.LogRegressed, "find out which of the two instances follows the right log",
			"other records are in force here up to offset %d", f.Offset)
	}
	if ok {
		reply.Records = records
		return reply, nil
	}
	data, err := configsnapshot.EncodeState(r.state)
	reply.State = data
	return reply, err
}

// ApplyFetchResponse takes a peer's answer.
func (r *Reader) ApplyFetchResponse(now time.Time, peer string, f FetchRequest, reply FetchResponse) {
	if f.Offset != r.state.Offset || f.Digest != r.state.Digest {
		return
	}
	if reply.State != nil {
		r.takeState(peer, reply.State)
	}
	for _, rec := range reply.Records {
		if rec.Offset != r.state.Offset+1 || !r.fold(rec.Offset, rec.Data) {
			break
		}
	}
	r.NotePeerHead(now, peer, reply.Head)
}

// settle takes the word of a peer for the whole configuration where the log
// has been tried and does not give it.
func (r *Reader) settle() {
	if r.complete || r.condition == Starting || !r.reachedKnown() {
		return
	}
	for _, h := range r.peers.heads {
		if h.Offset >= 0 && h.Offset == r.state.Offset {
			r.complete = true
		}
	}
}

func (r *Reader) takeState(peer string, data []byte) {
	s, err := configsnapshot.DecodeState(data)
	switch {
	case problem.Is(err, problem.NewerRecord):
		r.enter(NewerRecord, problem.Of(err).Detail)
	case err != nil:
		r.HandleFetchError(peer, err)
	default:
		r.adopt(s)
	}
}

// HandleFetchError notes that a fetch from a peer failed.
func (r *Reader) HandleFetchError(peer string, err error) {
	if problem.Is(err, problem.LogRegressed) {
		r.drop(peer)
		return
	}
	r.ForgetPeer(peer)
}

func (r *Reader) reachedKnown() bool {
	known, _ := r.KnownOffset()
	return r.state.Offset >= known
}
