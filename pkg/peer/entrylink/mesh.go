package entrylink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

const (
	retryPause = 500 * time.Millisecond
	// announceInterval separates announcements without news.
	announceInterval = 5 * time.Second
	// announcePause lets changes that come together go out together.
	announcePause = 50 * time.Millisecond
)

// Handler is the process behind a Mesh.
type Handler interface {
	Head() configread.Head
	ServeFetch(f configread.FetchRequest) (configread.FetchResponse, error)
	NotePeerHead(entry string, head configread.Head)
	ForgetPeer(entry string)
	MarkPeersQueried()
}

// Departures is what the process knows of entries that leave.
type Departures interface {
	// Merge takes departures and reports whether one of them is news.
	Merge(list []departure.Departure) bool
	// MarkReturned notes that an entry serves in another life.
	MarkReturned(entry string, incarnation ident.Incarnation)
	// List returns what to tell other entries.
	List() []departure.Departure
}

// Peer is another entry.
type Peer struct {
	Name    string
	Address string
}

// Mesh holds the connections of one entry to others. It is safe for concurrent
// use.
type Mesh struct {
	self       string
	life       ident.Incarnation
	handler    Handler
	departures Departures
	// due receives a value where an announcement is due.
	due chan struct{}

	mu sync.Mutex
	// links are the connections that this entry keeps.
	links map[Peer]*link
	// conns are the open connections by entry, in both directions. Two entries
	// that link to each other share two.
	conns map[string][]*rpc.Conn
	// sending holds the connections with an announcement under way.
	sending map[*rpc.Conn]bool
	// listed is every other entry of the last list.
	listed []Peer
	asked  bool
}

// link is one connection that is kept open.
type link struct {
	stop context.CancelFunc
	// tried is true after the peer has answered or failed once.
	tried bool
}

// NewMesh returns a mesh without connections.
func NewMesh(self string, life ident.Incarnation, handler Handler, departures Departures) *Mesh {
	return &Mesh{self: self, life: life, handler: handler, departures: departures, due: make(chan struct{}, 1), links: make(map[Peer]*link), conns: make(map[string][]*rpc.Conn), sending: make(map[*rpc.Conn]bool)}
}

// Methods returns what the mesh serves to entries that connect.
func (m *Mesh) Methods() rpc.Methods {
	return rpc.Methods{
		MethodHead: rpc.Typed(m.serveHead),
		MethodFetch: rpc.Typed(func(_ context.Context, _ *rpc.Conn, f configread.FetchRequest) (any, error) {
			return m.handler.ServeFetch(f)
		}),
	}
}

// Reconcile sets the other entries. It links to those that Choose names; while
// none of them answers, to all.
func (m *Mesh) Reconcile(ctx context.Context, peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = peers
	wanted := m.wanted()
	for p, l := range m.links {
		if !wanted[p] {
			l.stop()
			delete(m.links, p)
		}
	}
	for p := range wanted {
		if m.links[p] == nil {
			linkCtx, stop := context.WithCancel(ctx)
			l := &link{stop: stop}
			m.links[p] = l
			go m.keep(linkCtx, p, l)
		}
	}
	m.noteAsked()
}

func (m *Mesh) wanted() map[Peer]bool {
	names := make([]string, len(m.listed))
	for i, p := range m.listed {
		names[i] = p.Name
	}
	chosen := make(map[string]bool)
	for _, name := range SelectPeers(m.self, names) {
		chosen[name] = true
	}
	alone := len(m.conns) == 0 && m.allTried()
	wanted := make(map[Peer]bool)
	for _, p := range m.listed {
		if chosen[p.Name] || alone {
			wanted[p] = true
		}
	}
	return wanted
}

func (m *Mesh) allTried() bool {
	for _, l := range m.links {
		if !l.tried {
			return false
		}
	}
	return len(m.links) > 0
}

// noteAsked tells the handler once that the peers have been asked: every
// chosen one has answered or failed, and one has answered or all have failed.
func (m *Mesh) noteAsked() {
	all := len(m.conns) > 0 || len(m.links) == len(m.listed)
	if m.asked || len(m.listed) > 0 && !m.allTried() || !all {
		return
	}
	m.asked = true
	go m.handler.MarkPeersQueried()
}

// keep holds the connection to one peer until ctx ends.
func (m *Mesh) keep(ctx context.Context, p Peer, l *link) {
	for ctx.Err() == nil {
		conn, err := m.connect(ctx, p)
		m.tried(l)
		if err != nil {
			wait.For(ctx, retryPause)
			continue
		}
		select {
		case <-ctx.Done():
		case <-conn.Done():
		}
		conn.Close()
		m.remove(p.Name, conn)
	}
}

func (m *Mesh) connect(ctx context.Context, p Peer) (*rpc.Conn, error) {
	conn, err := rpc.Dial(ctx, p.Address, m.Methods())
	if err != nil {
		return nil, err
	}
	var answer Announcement
	if err := conn.Call(ctx, MethodHead, m.announcement(), &answer); err != nil {
		conn.Close()
		return nil, err
	}
	m.add(p.Name, conn)
	m.heard(p.Name, answer)
	return conn, nil
}

// tried notes that the peer of a link has answered or failed.
func (m *Mesh) tried(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.tried = true
	m.noteAsked()
}

func (m *Mesh) serveHead(_ context.Context, conn *rpc.Conn, a Announcement) (any, error) {
	if a.Entry == "" || a.Entry == m.self {
		return nil, problem.New(problem.BadRequest, "give every entry a name of its own", "an entry announced itself as %q", a.Entry)
	}
	if m.add(a.Entry, conn) {
		go func() {
			<-conn.Done()
			m.remove(a.Entry, conn)
		}()
	}
	m.heard(a.Entry, a)
	return m.announcement(), nil
}

// heard takes what another entry says. News of departures is passed on.
func (m *Mesh) heard(entry string, a Announcement) {
	m.handler.NotePeerHead(entry, a.Head)
	m.departures.MarkReturned(entry, a.Incarnation)
	if m.departures.Merge(a.Leaving) {
		m.Announce()
	}
}

// Announce makes Run tell the other entries what this one knows.
func (m *Mesh) Announce() {
	select {
	case m.due <- struct{}{}:
	default:
	}
}

// add notes an open connection and reports whether it is new.
func (m *Mesh) add(entry string, conn *rpc.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.conns[entry], conn) {
		return false
	}
	m.conns[entry] = append(m.conns[entry], conn)
	return true
}

func (m *Mesh) remove(entry string, conn *rpc.Conn) {
	m.mu.Lock()
	left := slices.DeleteFunc(slices.Clone(m.conns[entry]), func(c *rpc.Conn) bool { return c == conn })
	m.conns[entry] = left
	if len(left) == 0 {
		delete(m.conns, entry)
	}
	m.mu.Unlock()
	if len(left) == 0 {
		m.handler.ForgetPeer(entry)
	}
}

func (m *Mesh) announcement() Announcement {
	return Announcement{Entry: m.self, Incarnation: m.life, Head: m.handler.Head(), Leaving: m.departures.List()}
}

// Run announces what is in force, after each change and from time to time,
// until ctx ends. changed returns a channel that the next change closes.
func (m *Mesh) Run(ctx context.Context, changed func() <-chan struct{}) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		next := changed()
		a := m.announcement()
		for _, conn := range m.open() {
			go m.announceTo(ctx, conn, a)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
			wait.For(ctx, announcePause)
		case <-m.due:
			wait.For(ctx, announcePause)
		case <-ticker.C:
		}
	}
}

// announceTo sends an announcement, unless the one before it is still held up:
// a peer that has stopped reading must not hold back the others.
func (m *Mesh) announceTo(ctx context.Context, conn *rpc.Conn, a Announcement) {
	m.mu.Lock()
	held := m.sending[conn]
	m.sending[conn] = true
	m.mu.Unlock()
	if held {
		return
	}
	_ = conn.Notify(ctx, MethodHead, a)
	m.mu.Lock()
	delete(m.sending, conn)
	m.mu.Unlock()
}

func (m *Mesh) open() []*rpc.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*rpc.Conn, 0, len(m.conns))
	for _, list := range m.conns {
		out = append(out, list[0])
	}
	return out
}

// Fetch implements configuration.Peers.
func (m *Mesh) Fetch(ctx context.Context, entry string, f configread.FetchRequest) (configread.FetchResponse, error) {
	m.mu.Lock()
	list := m.conns[entry]
	m.mu.Unlock()
	var reply configread.FetchResponse
	if len(list) == 0 {
		return reply, problem.New(problem.Unavailable, "nothing needs to be done; the connection is made again", "no connection to %s", entry)
	}
	err := list[0].Call(ctx, MethodFetch, f, &reply)
	return reply, err
}
