package rpc

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/membudget"
)

const (
	// firstLineBytes is the size of the first buffer of a message, which doubles as it fills.
	firstLineBytes = 4 << 10
	// maxCallsPerConn is the number of calls of one connection that run at a time under Bounds; further messages are
	// read when one has ended.
	maxCallsPerConn = 64
)

var errMessageMemory = errors.New("no memory is left for the message")

// Bounds are the resources that the connections of a server may use.
type Bounds struct {
	// MaxMessageBytes bounds one message.
	MaxMessageBytes int
	// MaxConns bounds the open connections; 0 means that there is no bound. At the bound, the connection whose last
	// message is the oldest gives way to a new one.
	MaxConns int
	// Memory holds the messages while they arrive.
	Memory *membudget.Budget
	// Scope counts the connections that gave way.
	Scope tally.Scope
}

// SetBounds bounds the connections that are accepted from now on. It must be called before Run.
func (s *Server) SetBounds(b Bounds) { s.bounds = &b }

// makeRoom closes the connection with the oldest last message if there are as many as may be open.
func (s *Server) makeRoom() {
	b := s.bounds
	if b == nil || b.MaxConns <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) < b.MaxConns {
		return
	}
	var victim *Conn
	for c := range s.conns {
		if victim == nil || c.active.Get().Before(victim.active.Get()) {
			victim = c
		}
	}
	delete(s.conns, victim)
	b.Scope.Counter("connections_evicted_descriptors").Inc(1)
	_ = victim.nc.Close() // the reader of the connection ends it
}

// line is the buffer of a message that arrives.
type line struct {
	data  []byte
	claim *membudget.Claim
}

// add appends a part of a message.
func (l *line) add(part []byte) error {
	if l.claim == nil {
		l.data = append(l.data, part...)
		return nil
	}
	if need := len(l.data) + len(part); need > cap(l.data) {
		size := max(2*cap(l.data), firstLineBytes, need)
		if !l.claim.Grow(int64(size - cap(l.data))) {
			return errMessageMemory
		}
		l.data = append(make([]byte, 0, size), l.data...)
	}
	l.data = append(l.data, part...)
	l.claim.Received(time.Now(), len(part))
	return nil
}

// newLine returns the buffer of the next message of a connection.
func (b *Bounds) newLine(nc net.Conn) *line {
	if b == nil || b.Memory == nil {
		return &line{}
	}
	return &line{claim: b.Memory.Receive(time.Now(), func(membudget.Reason) {
		b.Scope.Counter("connections_evicted_memory").Inc(1)
		_ = nc.Close() // the reader of the connection ends it
	})}
}

func (l *line) release() {
	if l.claim != nil {
		l.claim.Release()
	}
}

// maxMessageBytes returns the largest message.
func (b *Bounds) maxMessageBytes() int {
	if b == nil || b.MaxMessageBytes <= 0 {
		return MaxMessageBytes
	}
	return b.MaxMessageBytes
}
