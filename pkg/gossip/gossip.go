// Package gossip exchanges the state that entries and agents send each other several times a
// second. Messages are UDP datagrams in CBOR, with the keys of the json tags. Each holds the complete
// state of its sender, so the next one replaces one that was lost.
package gossip

import (
	"context"
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/panics"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
	"github.com/fescuehub/fescuehub/pkg/retrybudget"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// maxMessageBytes limits the size of a datagram.
const maxMessageBytes = 60 << 10

// MaxLeaving bounds the leaving servers in one message: about 3 KB.
const MaxLeaving = 64

// EntryState is the state that an entry sends to the other entries.
type EntryState struct {
	Name string `json:"name"`
	// Incarnation identifies one start of the entry; Sequence orders its messages.
	Incarnation string `json:"inc"`
	Sequence    int64  `json:"seq"`
	// CallerAddress is the address to which callers connect.
	CallerAddress string `json:"addr"`
	FailureDomain string `json:"dom"`
	Ready         bool   `json:"ready"`
	// LogReachable is true while the entry can read the shared log. NextOffsets holds, by topic,
	// the offset that it reads next.
	LogReachable bool             `json:"reads"`
	NextOffsets  map[string]int64 `json:"next,omitempty"`
	// ReadsLog is true while the entry reads the shared log on behalf of all entries. Urgent holds the topics
	// of which others must not read the records up to NextOffsets late.
	ReadsLog bool     `json:"leads,omitempty"`
	Urgent   []string `json:"urgent,omitempty"`
	// Timelines holds, by topic, the timeline of the log that NextOffsets belongs to; a topic is
	// missing if the log states none.
	Timelines map[string]int64 `json:"tl,omitempty"`
	// InFlight is the load that the entry has in flight at each backend server.
	InFlight map[string]balance.Load `json:"load,omitempty"`
	// Leaving holds the incarnations, by ID, of backend servers that are leaving, for up to
	// MaxLeaving servers.
	Leaving map[string]int64 `json:"leave,omitempty"`
	// Draining holds, by ID, servers of which the entry has just read in the shared log that they drain, for
	// up to MaxLeaving servers.
	Draining map[string]Drain `json:"drain,omitempty"`
	// Budget counts requests and retries by service.
	Budget map[string]retrybudget.Counts `json:"budget,omitempty"`
	// Prompts repeats what the entry knows about prompts that crash servers; nil in quiet times.
	Prompts *quarantine.Message `json:"prompts,omitempty"`
	// RateLimits repeats the rate limits that servers have stated; nil if there are none.
	RateLimits *ratelimit.Message `json:"limits,omitempty"`
	// Evacuations repeats the states of failure domains; nil if none has been evacuated. Builds that do not
	// know the field skip it.
	Evacuations []evacuation.Report `json:"evac,omitempty"`
}

// Drain identifies the announcement of a server that drains.
type Drain struct {
	_           struct{} `cbor:",toarray"`
	Incarnation int64
	Sequence    int64
}

// Subscription asks a planner to send digests for a limited time.
type Subscription struct {
	Entry string `json:"entry"`
	// FailureDomain is the entry's own. Digests are passed on within one failure domain.
	FailureDomain string `json:"dom,omitempty"`
	// Engine is the service's engine configuration. It is set while the entry receives no digests, or
	// digests that were made with an older one: a planner would otherwise have to read the whole
	// configuration, over a link that it shares with the control of the ranks.
	Engine *EngineConfiguration `json:"engine,omitempty"`
}

// EngineConfiguration is the part of an accepted configuration that describes the engines of a service.
type EngineConfiguration struct {
	Service string `json:"service"`
	// Version is the version of the configuration.
	Version int64        `json:"version"`
	Engine  fleet.Engine `json:"engine"`
}

// RankState is what a planner knows about one engine. It is encoded as an array because a digest
// holds many of these.
type RankState struct {
	_ struct{} `cbor:",toarray"`
	// Address is the address of the engine for requests.
	Address     Address
	Incarnation int64
	Running     int
	Waiting     int
	// Slowdown above 1 means that the engine is slower than normal.
	Slowdown float64
}

// Digest is the state that a planner sends to the entries about one group of engines.
type Digest struct {
	Service string `json:"service"`
	// Group is the name of the group: a service can have several groups.
	Group string `json:"group"`
	// PeerAddress is the gossip address of the planner.
	PeerAddress string           `json:"peer"`
	State       fleet.GroupState `json:"state"`
	Epoch       int64            `json:"epoch"`
	Ranks       []RankState      `json:"ranks"`
	// EngineVersion is the version of the configuration that the planner uses.
	EngineVersion int64 `json:"ver"`
	// Sequence orders the digests of one planner.
	Sequence int64 `json:"seq"`
	// AgeMS is the time in milliseconds since the planner asked the ranks for their state; 0 if it is not known.
	AgeMS int64 `json:"age,omitempty"`
	// Relay holds the entries to which the receiver passes the digest on.
	Relay []netip.AddrPort `json:"relay,omitempty"`
}

// Planner names the agent that plans for a service.
type Planner struct {
	Service     string `json:"service"`
	PeerAddress string `json:"peer"`
}

// Message is one datagram. Exactly one of its fields is set.
type Message struct {
	Entry     *EntryState   `json:"entry,omitempty"`
	Subscribe *Subscription `json:"subscribe,omitempty"`
	Planner   *Planner      `json:"planner,omitempty"`
	Digest    *Digest       `json:"digest,omitempty"`
	// Prompts is sent to all entries as soon as there is something new.
	Prompts *quarantine.Message `json:"prompts,omitempty"`
	// RateLimits tells of limits, or asks for permits and grants them.
	RateLimits *RateLimits `json:"limits,omitempty"`
}

// RateLimits is a message about rate limits. It names its sender, since an entry can be asked before it
// has sent its state.
type RateLimits struct {
	Entry string `json:"entry"`
	ratelimit.Message
}

// Socket sends and receives messages.
type Socket struct {
	conn *net.UDPConn
	log  *zap.Logger
}

// Open opens the UDP socket at address.
func Open(ctx context.Context, address string, log *zap.Logger) (*Socket, error) {
	var c net.ListenConfig
	pc, err := c.ListenPacket(ctx, "udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "open the gossip socket at %s", address)
	}
	return &Socket{conn: pc.(*net.UDPConn), log: log}, nil
}

// Send sends one message to each address. A datagram that cannot be sent is treated as lost.
func (s *Socket) Send(m Message, to ...netip.AddrPort) {
	data, err := Encode(m)
	if err != nil || len(data) > maxMessageBytes {
		s.log.Error("gossip message dropped: not encodable, or larger than a datagram", zap.Int("bytes", len(data)), telemetry.Err(err))
		return
	}
	for _, address := range to {
		if _, err := s.conn.WriteToUDPAddrPort(data, address); err != nil {
			s.log.Debug("gossip datagram not sent", zap.Stringer("to", address), telemetry.Err(err))
		}
	}
}

// Run receives messages until ctx is cancelled. Messages that cannot be decoded are skipped.
func (s *Socket) Run(ctx context.Context, receive func(from netip.AddrPort, m Message)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() })
	defer stop()
	buf := make([]byte, maxMessageBytes)
	for ctx.Err() == nil {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil && errors.Is(err, net.ErrClosed) {
				s.log.Error("the gossip socket was closed", telemetry.Err(err))
				return
			}
			continue
		}
		m, err := Decode(buf[:n])
		if err != nil {
			s.log.Warn("skipped a gossip message that cannot be decoded", zap.Stringer("from", from), telemetry.Err(err))
			continue
		}
		if err := panics.Catch(func() { receive(from, m) }); err != nil {
			s.log.Error("failed to handle a gossip message; it is skipped", zap.Stringer("from", from), telemetry.Err(err))
		}
	}
}

// Address returns the address at which the socket receives messages.
func (s *Socket) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Close closes the socket. Run closes it as well when it ends.
func (s *Socket) Close() { _ = s.conn.Close() }
