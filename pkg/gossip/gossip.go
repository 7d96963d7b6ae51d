// Package gossip carries what entries and agents tell each other several times
// a second. Messages are datagrams: each holds the whole state, and a lost one is
// replaced by the next.
package gossip

import (
	"context"
	"encoding/json"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
)

// maxMessageBytes bounds a datagram.
const maxMessageBytes = 60 << 10

// EntryState is what an entry tells the other entries.
type EntryState struct {
	Name string `json:"name"`
	// Incarnation tells one start from another; Sequence orders the messages.
	Incarnation string `json:"inc"`
	Sequence    int64  `json:"seq"`
	// CallerAddress is where callers connect.
	CallerAddress string `json:"addr"`
	FailureDomain string `json:"dom"`
	Ready         bool   `json:"ready"`
	// LogReachable is true while the entry reaches the shared log; Next holds the
	// offset that it reads next, by topic.
	LogReachable bool             `json:"reads"`
	NextOffsets  map[string]int64 `json:"next,omitempty"`
	// InFlight is what the entry has in flight at each backend server.
	InFlight map[string]balance.Load `json:"load,omitempty"`
	// Budget counts requests and repeats by service.
	Budget map[string]retrybudget.Counts `json:"budget,omitempty"`
}

// Subscription asks a planner for digests for a while.
type Subscription struct {
	Entry string `json:"entry"`
}

// RankState is what a planner knows of one engine. The names are short: a
// digest holds many.
type RankState struct {
	// Address is the engine's address for requests.
	Address string  `json:"a"`
	Born    int64   `json:"b"`
	Running int     `json:"r"`
	Waiting int     `json:"w"`
	Pace    float64 `json:"p"`
}

// Digest is what a planner tells the entries of one group of engines.
type Digest struct {
	Service string `json:"service"`
	// Group is the group's name: a service may have several.
	Group string `json:"group"`
	// PeerAddress is the planner's address for messages.
	PeerAddress string           `json:"peer"`
	State       fleet.GroupState `json:"state"`
	Epoch       int64            `json:"epoch"`
	Ranks       []RankState      `json:"ranks"`
}

// Planner tells which agent plans for a service.
type Planner struct {
	Service     string `json:"service"`
	PeerAddress string `json:"peer"`
}

// Message is one datagram; one of its fields is set.
type Message struct {
	Entry     *EntryState   `json:"entry,omitempty"`
	Subscribe *Subscription `json:"subscribe,omitempty"`
	Planner   *Planner      `json:"planner,omitempty"`
	Digest    *Digest       `json:"digest,omitempty"`
}

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Open opens a socket.
func Open(ctx context.Context, address string, log *zap.Logger) (*Socket, error) {
	var c net.ListenConfig
	pc, err := c.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open the port for other instances at %s", address)
	}
	return &Socket{conn: pc.(*net.UDPConn), log: log}, nil
}

// Send sends one message to each address. A datagram that can't be sent is as
// good as a lost one.
func (s *Socket) Send(m Message, to ...netip.AddrPort) {
	data, err := json.Marshal(m)
	if err != nil || len(data) > maxMessageBytes {
		s.log.Error("a message cannot be sent", zap.Int("bytes", len(data)), telemetry.Err(err))
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(data, address); err != nil {
			s.log.Debug("a message was not sent", zap.Stringer("to", address), telemetry.Err(err))
		}
	}
}

// Run receives messages until ctx ends. Messages that can't be read are skipped.
func (s *Socket) Run(ctx context.Context, take func(from netip.AddrPort, m Message)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxMessageBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil && errors.Is(err, net.ErrClosed) {
				s.log.Error("the port for other instances is closed", telemetry.Err(err))
				return
			}
			continue
		}
		var m Message
		if err := json.Unmarshal(buf[:n], &m); err != nil {
			s.log.Warn("skipped a message", zap.Stringer("from", from), telemetry.Err(err))
			continue
		}
		take(from, m)
	}
}
