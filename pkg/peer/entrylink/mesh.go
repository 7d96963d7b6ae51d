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
	reconnectInterval = 500 * time.Millisecond
	// announceInterval is the interval between announcements while nothing changes.
	announceInterval = 5 * time.Second
	// announceDebounce is the delay before an announcement, so that changes in quick succession
	// are sent together.
	announceDebounce = 50 * time.Millisecond
)

// Handler holds the configuration of the entry that a Mesh belongs to.
type Handler interface {
	// Head returns the head of the configuration in force.
	Head() configread.Head
	// ServeFetch answers the fetch request of a peer.
	ServeFetch(f configread.FetchRequest) (configread.FetchResponse, error)
	// NotePeerHead records the head that a peer has announced.
	NotePeerHead(entry string, head configread.Head)
	// ForgetPeer is called when the last connection to a peer has closed.
	ForgetPeer(entry string)
	// MarkPeersQueried is called once, when all selected peers have been queried.
	MarkPeersQueried()
}

// Departures tracks the entries that are leaving.
type Departures interface {
	// Merge adds departures and reports whether one of them was not known before.
	Merge(list []departure.Departure) bool
	// MarkReturned records that an entry serves again as the given incarnation.
	MarkReturned(entry string, incarnation ident.Incarnation)
	// List returns the departures to announce to other entries.
	List() []departure.Departure
}

// Peer identifies another entry and its address.
type Peer struct {
	Name    string
	Address string
}

// Mesh maintains the connections of one entry to others. It is safe for concurrent use.
type Mesh struct {
	self        string
	incarnation ident.Incarnation
	handler     Handler
	departures  Departures
	// announceDue receives a value when an announcement is due.
	announceDue chan struct{}

	mu sync.Mutex
	// links holds the connections that this entry opens and maintains.
	links map[Peer]*link
	// conns holds the open connections by entry name, in both directions. Two entries that link
	// to each other have two connections.
	conns map[string][]*rpc.Conn
	// announcing holds the connections on which an announcement is being sent.
	announcing map[*rpc.Conn]bool
	// peers holds all other entries, as last passed to Reconcile.
	peers        []Peer
	peersQueried bool
}

// link is one connection that is reopened whenever it closes.
type link struct {
	cancel context.CancelFunc
	// attempted is true once the first connection attempt has succeeded or failed.
	attempted bool
}

// NewMesh returns a mesh without connections. Call Reconcile to open them.
func NewMesh(self string, incarnation ident.Incarnation, handler Handler, departures Departures) *Mesh {
	return &Mesh{self: self, incarnation: incarnation, handler: handler, departures: departures, announceDue: make(chan struct{}, 1), links: make(map[Peer]*link), conns: make(map[string][]*rpc.Conn), announcing: make(map[*rpc.Conn]bool)}
}

// Methods returns the RPC methods that the mesh serves to its peers.
func (m *Mesh) Methods() rpc.Methods {
	return rpc.Methods{
		MethodHead: rpc.Typed(m.serveHead),
		MethodFetch: rpc.Typed(func(_ context.Context, _ *rpc.Conn, f configread.FetchRequest) (any, error) {
			return m.handler.ServeFetch(f)
		}),
	}
}

// Reconcile sets the list of other entries, closes the links that are no longer wanted and opens
// those that are missing. The wanted peers are those that SelectPeers returns, or all peers if every
// link has been attempted and no connection is open. The links end with ctx.
func (m *Mesh) Reconcile(ctx context.Context, peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = peers
	wanted := m.wantedPeers()
	for p, l := range m.links {
		if !wanted[p] {
			l.cancel()
			delete(m.links, p)
		}
	}
	for p := range wanted {
		if m.links[p] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &link{cancel: cancel}
			m.links[p] = l
			go m.maintainLink(linkCtx, p, l)
		}
	}
	m.checkPeersQueried()
}

func (m *Mesh) wantedPeers() map[Peer]bool {
	names := make([]string, len(m.peers))
	for i, p := range m.peers {
		names[i] = p.Name
	}
	selected := make(map[string]bool)
	for _, name := range SelectPeers(m.self, names) {
		selected[name] = true
	}
	isolated := len(m.conns) == 0 && m.allAttempted()
	wanted := make(map[Peer]bool)
	for _, p := range m.peers {
		if selected[p.Name] || isolated {
			wanted[p] = true
		}
	}
	return wanted
}

func (m *Mesh) allAttempted() bool {
	for _, l := range m.links {
		if !l.attempted {
			return false
		}
	}
	return len(m.links) > 0
}

// checkPeersQueried calls Handler.MarkPeersQueried once, as soon as every selected peer has answered
// or failed and, if no connection is open, every other peer has been attempted as well. The caller
// holds m.mu.
func (m *Mesh) checkPeersQueried() {
	connectedOrAllLinked := len(m.conns) > 0 || len(m.links) == len(m.peers)
	if m.peersQueried || len(m.peers) > 0 && !m.allAttempted() || !connectedOrAllLinked {
		return
	}
	m.peersQueried = true
	go m.handler.MarkPeersQueried()
}

// maintainLink keeps a connection to one peer open until ctx ends.
func (m *Mesh) maintainLink(ctx context.Context, p Peer, l *link) {
	for ctx.Err() == nil {
		conn, err := m.connect(ctx, p)
		m.markAttempted(l)
		if err != nil {
			wait.For(ctx, reconnectInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-conn.Done():
		}
		conn.Close()
		m.removeConn(p.Name, conn)
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
	m.addConn(p.Name, conn)
	m.applyAnnouncement(p.Name, answer)
	return conn, nil
}

// markAttempted records that the peer of a link has answered or failed.
func (m *Mesh) markAttempted(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.attempted = true
	m.checkPeersQueried()
}

func (m *Mesh) serveHead(_ context.Context, conn *rpc.Conn, a Announcement) (any, error) {
	if a.Entry == "" || a.Entry == m.self {
		return nil, problem.New(problem.BadRequest, "give every entry a unique name", "an entry announced itself as %q", a.Entry)
	}
	if m.addConn(a.Entry, conn) {
		go func() {
			<-conn.Done()
			m.removeConn(a.Entry, conn)
		}()
	}
	m.applyAnnouncement(a.Entry, a)
	return m.announcement(), nil
}

// applyAnnouncement records the announcement of a peer. If it contains new departures, the mesh
// forwards them to the other peers.
func (m *Mesh) applyAnnouncement(entry string, a Announcement) {
	m.handler.NotePeerHead(entry, a.Head)
	m.departures.MarkReturned(entry, a.Incarnation)
	if m.departures.Merge(a.Leaving) {
		m.Announce()
	}
}

// Announce makes Run send an announcement to the other entries.
func (m *Mesh) Announce() {
	select {
	case m.announceDue <- struct{}{}:
	default:
	}
}

// addConn records an open connection and reports whether it is new.
func (m *Mesh) addConn(entry string, conn *rpc.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.conns[entry], conn) {
		return false
	}
	m.conns[entry] = append(m.conns[entry], conn)
	return true
}

func (m *Mesh) removeConn(entry string, conn *rpc.Conn) {
	m.mu.Lock()
	remaining := slices.DeleteFunc(slices.Clone(m.conns[entry]), func(c *rpc.Conn) bool { return c == conn })
	m.conns[entry] = remaining
	if len(remaining) == 0 {
		delete(m.conns, entry)
	}
	m.mu.Unlock()
	if len(remaining) == 0 {
		m.handler.ForgetPeer(entry)
	}
}

func (m *Mesh) announcement() Announcement {
	return Announcement{Entry: m.self, Incarnation: m.incarnation, Head: m.handler.Head(), Leaving: m.departures.List()}
}

// Run sends announcements to all connected entries after each change and every announceInterval,
// until ctx ends. changed returns a channel that is closed at the next change of configuration.
func (m *Mesh) Run(ctx context.Context, changed func() <-chan struct{}) error {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		next := changed()
		a := m.announcement()
		for _, conn := range m.openConns() {
			go m.announceTo(ctx, conn, a)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-next:
			wait.For(ctx, announceDebounce)
		case <-m.announceDue:
			wait.For(ctx, announceDebounce)
		case <-ticker.C:
		}
	}
}

// announceTo sends an announcement to one peer, unless the previous one is still being sent: a peer
// that has stopped reading must not block the announcements to the others.
func (m *Mesh) announceTo(ctx context.Context, conn *rpc.Conn, a Announcement) {
	m.mu.Lock()
	inFlight := m.announcing[conn]
	m.announcing[conn] = true
	m.mu.Unlock()
	if inFlight {
		return
	}
	_ = conn.Notify(ctx, MethodHead, a)
	m.mu.Lock()
	delete(m.announcing, conn)
	m.mu.Unlock()
}

func (m *Mesh) openConns() []*rpc.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*rpc.Conn, 0, len(m.conns))
	for _, list := range m.conns {
		out = append(out, list[0])
	}
	return out
}

// Fetch sends a fetch request to a connected entry. It implements configuration.Peers. The error has
// the kind Unavailable if no connection to the entry is open.
func (m *Mesh) Fetch(ctx context.Context, entry string, f configread.FetchRequest) (configread.FetchResponse, error) {
	m.mu.Lock()
	list := m.conns[entry]
	m.mu.Unlock()
	var reply configread.FetchResponse
	if len(list) == 0 {
		return reply, problem.New(problem.Unavailable, "no action is needed; the connection is reopened automatically", "no connection to %s", entry)
	}
	err := list[0].Call(ctx, MethodFetch, f, &reply)
	return reply, err
}
