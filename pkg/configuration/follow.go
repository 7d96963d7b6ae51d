package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// Streams of the log service.
const (
	// Stream holds the edits of the configuration.
	Stream = "configuration"
	// SnapshotStream holds the parts of the snapshots.
	SnapshotStream = "configuration-snapshots"
)

// fetchCheckInterval is the time between checks for a due fetch.
const fetchCheckInterval = 100 * time.Millisecond

// Peers sends requests to the other processes that hold the configuration.
type Peers interface {
	// Fetch asks a peer for the records after the requester's state.
	Fetch(ctx context.Context, peer string, f configread.FetchRequest) (configread.FetchResponse, error)
}

// Status is the state of a Follower as shown to operators.
type Status struct {
	Offset    int64                `json:"offset"`
	Version   int64                `json:"version"`
	Digest    configfold.Digest    `json:"digest"`
	Condition configread.Condition `json:"condition"`
	Detail    string               `json:"detail,omitempty"`
	// KnownOffset is the highest offset known to be in force anywhere.
	KnownOffset int64 `json:"knownOffset"`
	// DivergedPeers is the number of entries whose records in force differ.
	DivergedPeers int `json:"divergedPeers"`
	// SnapshotOffset is the offset of the newest snapshot seen in the log, -1 if
	// there is none.
	SnapshotOffset int64 `json:"snapshotOffset"`
}

// Follower keeps a Store up to date with the configuration in force. It is safe
// for concurrent use.
type Follower struct {
	log    *zap.Logger
	scope  tally.Scope
	client *logservice.Client
	store  *Store
	writer *snapshotWriter

	mu     sync.Mutex
	reader *configread.Reader
	peers  Peers
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(log *zap.Logger, scope tally.Scope, client *logservice.Client, store *Store, snapshots SnapshotOptions) *Follower {
	f := &Follower{log: log, scope: scope, client: client, store: store, reader: configread.New()}
	f.writer = newSnapshotWriter(log, scope, client, f, snapshots)
	return f
}

// SetPeers sets the peers that Run fetches from. It must be called before Run.
func (f *Follower) SetPeers(p Peers) { f.peers = p }

// Run follows the log and the peers, and writes due snapshots, until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.followLog(ctx) })
	group.Go(func() error { return f.followPeers(ctx) })
	group.Go(func() error { return f.writer.run(ctx) })
	return group.Wait()
}

// Ready returns nil if the process may serve from the configuration in force.
// Otherwise the error has the kind Unavailable and says what is missing.
func (f *Follower) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Ready(time.Now())
}

// Status returns the state of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.reader.State()
	condition, detail := f.reader.Condition()
	known, _ := f.reader.KnownOffset()
	return Status{
		Offset: state.Offset, Version: state.Version, Digest: state.Digest, Condition: condition, Detail: detail,
		KnownOffset: known, DivergedPeers: f.reader.DivergedPeerCount(), SnapshotOffset: f.writer.newest(),
	}
}

// Head returns the head that this process announces to its peers.
func (f *Follower) Head() configread.Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.Head()
}

// ServeFetch answers a peer's FetchRequest.
func (f *Follower) ServeFetch(fetch configread.FetchRequest) (configread.FetchResponse, error) {
	f.scope.Counter("fetches_served").Inc(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reader.ServeFetch(fetch)
}

// NotePeerHead records the head that a peer has announced.
func (f *Follower) NotePeerHead(peer string, head configread.Head) {
	f.update(func(r *configread.Reader) { r.NotePeerHead(time.Now(), peer, head) })
}

// ForgetPeer removes a peer. Its offset still counts as known to be in force.
func (f *Follower) ForgetPeer(peer string) {
	f.update(func(r *configread.Reader) { r.ForgetPeer(peer) })
}

// MarkPeersQueried records that every queried peer has answered or failed.
func (f *Follower) MarkPeersQueried() { f.update((*configread.Reader).MarkPeersQueried) }

// NoteAgentOffset records an offset that an agent reports as in force.
func (f *Follower) NoteAgentOffset(offset int64) {
	f.update(func(r *configread.Reader) { r.NoteAgentOffset(time.Now(), offset) })
}

// update applies a change to the reader, publishes its state, and reports its
// events.
func (f *Follower) update(change func(*configread.Reader)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.reader)
	state := f.reader.State()
	if f.store.Publish(state) {
		f.scope.Gauge("offset").Update(float64(state.Offset))
		f.scope.Gauge("version").Update(float64(state.Version))
	}
	for _, e := range f.reader.Events() {
		f.report(e)
	}
}

func (f *Follower) followLog(ctx context.Context) error {
	for ctx.Err() == nil {
		f.mu.Lock()
		q := f.reader.Next()
		f.mu.Unlock()
		wait.For(ctx, jitter(q.Pause))
		if q.Idle {
			continue
		}
		if q.Snapshots {
			f.readSnapshots(ctx)
			continue
		}
		page, err := f.client.Read(ctx, Stream, q.From, q.Limit, q.Wait)
		if ctx.Err() != nil {
			return nil
		}
		f.update(func(r *configread.Reader) {
			if err != nil {
				r.HandleLogError(err)
				return
			}
			r.ApplyPage(q, page)
		})
	}
	return nil
}

func (f *Follower) readSnapshots(ctx context.Context) {
	states, err := f.writer.read(ctx)
	if ctx.Err() != nil {
		return
	}
	f.update(func(r *configread.Reader) {
		if err != nil {
			r.HandleLogError(err)
			return
		}
		r.ApplySnapshots(states)
	})
}

func (f *Follower) followPeers(ctx context.Context) error {
	if f.peers == nil {
		f.MarkPeersQueried()
		return nil
	}
	for ctx.Err() == nil {
		wait.For(ctx, fetchCheckInterval)
		f.mu.Lock()
		peer, fetch, ok := f.reader.NextFetch(time.Now())
		f.mu.Unlock()
		if !ok {
			continue
		}
		f.scope.Counter("fetches").Inc(1)
		reply, err := f.peers.Fetch(ctx, peer, fetch)
		f.update(func(r *configread.Reader) {
			if err != nil {
				r.HandleFetchError(peer, err)
				return
			}
			r.ApplyFetchResponse(time.Now(), peer, fetch, reply)
		})
	}
	return nil
}

// report counts an event and, except for a rejected edit, logs it.
func (f *Follower) report(e configread.Event) {
	switch {
	case e.Result != nil && e.Result.Accepted:
		f.scope.Counter("edits_accepted").Inc(1)
		f.log.Info("configuration in force", zap.Int64("offset", e.Result.Offset), zap.Int64("version", e.Result.Version), zap.String("edit", string(e.Result.ID)))
	case e.Result != nil:
		f.scope.Counter("edits_rejected").Inc(1)
	case e.AdoptedOffset != nil:
		f.scope.Counter("states_adopted").Inc(1)
		f.log.Info("configuration in force from a snapshot or a peer", zap.Int64("offset", *e.AdoptedOffset))
	case e.DivergedPeer != "":
		f.scope.Counter("peers_diverged").Inc(1)
		f.log.Error("entry has different configuration records in force", zap.String("entry", e.DivergedPeer))
	default:
		f.scope.Tagged(map[string]string{"condition": string(e.Condition)}).Counter("conditions").Inc(1)
		f.log.Info("log service state", zap.Bool("reachable", e.Condition != configread.Unreachable), zap.String("condition", string(e.Condition)), zap.String("detail", e.Detail))
	}
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d/2)
}
