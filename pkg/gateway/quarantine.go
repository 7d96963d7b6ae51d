package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
	"github.com/fescuehub/fescuehub/pkg/wait"
)

// quarantineKeyPrefix marks the records of parts in quarantine, which share a topic with the entries'
// records, so that an entry reads them at its start without a further call.
const quarantineKeyPrefix = "quarantine/"

// Ended implements relay.ServerObserver. The end of a server that is leaving, or in an evacuated failure
// domain, is planned and blames no request.
func (g *Gateway) Ended(s fleet.Server, end relay.ServerEnd) {
	now := time.Now()
	g.mu.Lock()
	_, usable := g.servers[s.ID]
	usable = usable && !g.evacuations.Evacuated(s.Zone)
	g.mu.Unlock()
	g.log.Warn("a backend server ended while it had a request", zap.String("server", s.ID), zap.Int64("incarnation", s.Incarnation), zap.String("service", s.Service),
		zap.String("request", end.RequestID), zap.String("fingerprint", end.Fingerprint), zap.Strings("sharedParts", end.SharedParts), zap.Bool("responseBegun", end.ResponseBegun), zap.Bool("expected", !usable))
	g.scope.Tagged(map[string]string{"service": s.Service}).Counter("requests_at_ended_servers").Inc(1)
	if usable {
		crash := quarantine.Crash{Service: s.Service, Server: s.ID, Incarnation: s.Incarnation, At: now}
		g.prompts.RecordCrash(now, crash, relay.SuspectIDs(end.SharedParts, end.Fingerprint), end.ResponseBegun)
	}
}

// runQuarantine tells the other entries what this one learns about prompts that crash servers, and logs
// and keeps each change.
func (g *Gateway) runQuarantine(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.prompts.Wake():
		}
		message, changes, next := g.prompts.Advance(time.Now())
		if !message.Empty() {
			g.sendToEntries(gossip.Message{Prompts: &message})
		}
		for _, c := range changes {
			g.applyQuarantineChange(c)
		}
		timer.Reset(next)
	}
}

// sendToEntries sends a message to all other entries.
func (g *Gateway) sendToEntries(m gossip.Message) {
	g.mu.Lock()
	to := make([]netip.AddrPort, 0, len(g.peerAddresses))
	for _, address := range g.peerAddresses {
		to = append(to, address)
	}
	g.mu.Unlock()
	g.socket.Send(m, to...)
}

func (g *Gateway) applyQuarantineChange(c quarantine.Change) {
	crashes := make([]string, 0, len(c.Crashes))
	for _, crash := range c.Crashes {
		crashes = append(crashes, crash.Server)
	}
	message := "quarantine of a prompt part changed"
	if quarantine.IsFingerprint(c.ID) {
		message = "quarantine of a request changed"
	}
	g.log.Warn(message, zap.String("service", c.Service), zap.String("part", c.ID), zap.Bool("refused", !c.Released), zap.String("reason", string(c.Reason)),
		zap.Int("version", c.Version), zap.Int("strikes", c.Strikes), zap.Duration("left", c.Left), zap.Strings("crashedServers", crashes))
	g.countQuarantined()
	g.scope.Tagged(map[string]string{"reason": string(c.Reason)}).Counter("quarantine_changes").Inc(1)
	if c.Reason != quarantine.Restored && c.Reason != quarantine.TrialBegun {
		g.keepQuarantine(c.State, c.Released || c.Reason == quarantine.Expired)
	}
}

// countQuarantined updates the gauges of the parts and requests in quarantine.
func (g *Gateway) countQuarantined() {
	parts, requests := 0, 0
	for _, s := range g.prompts.States(time.Now()) {
		if quarantine.IsFingerprint(s.ID) {
			requests++
		} else {
			parts++
		}
	}
	g.scope.Gauge("prompt_parts_in_quarantine").Update(float64(parts))
	g.scope.Gauge("requests_in_quarantine").Update(float64(requests))
}

// keepQuarantine writes the record of a part to the shared log, or removes it. The log readers write for
// all entries, so that the calls to the log do not grow with the fleet.
func (g *Gateway) keepQuarantine(s quarantine.State, remove bool) {
	if !g.isLogReader() {
		return
	}
	key := quarantineKeyPrefix + s.Service + "/" + s.ID
	if remove {
		g.quarantineWrites.add(key, nil)
		return
	}
	record, err := json.Marshal(quarantineRecord{Service: s.Service, Part: s.ID, Version: s.Version, Strikes: s.Strikes})
	if err != nil {
		g.log.Error("failed to encode the record of a part in quarantine", zap.String("part", s.ID), telemetry.Err(err))
		return
	}
	g.quarantineWrites.add(key, record)
}

// quarantineRecord is the record of a part in quarantine in the shared log. It holds no time, because
// the clocks of instances differ: an entry that reads it at its start refuses the part for the whole time.
type quarantineRecord struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	Version int    `json:"version"`
	Strikes int    `json:"strikes"`
}

// restoreQuarantine adopts the record of a part in quarantine. It reports false for any other record.
func (g *Gateway) restoreQuarantine(r sharedlog.Record) bool {
	if !strings.HasPrefix(r.Key, quarantineKeyPrefix) {
		return false
	}
	var record quarantineRecord
	if err := json.Unmarshal(r.Value, &record); err != nil {
		g.log.Warn("skipped the record of a part in quarantine: it cannot be decoded", zap.String("key", r.Key), zap.Int64("offset", r.Offset), telemetry.Err(err))
		return true
	}
	g.prompts.Restore(time.Now(), quarantine.Part{Service: record.Service, ID: record.Part}, record.Version, record.Strikes)
	return true
}

// persistQuarantine writes records to the shared log, so that they outlive a restart of all entries.
func (g *Gateway) persistQuarantine(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		key, value, ok := g.quarantineWrites.next(ctx)
		if !ok {
			return
		}
		putCtx, cancel := context.WithTimeout(ctx, recordWriteTimeout)
		err := g.sharedLog.Put(putCtx, sharedlog.Entries, key, value)
		cancel()
		if err == nil {
			g.quarantineWrites.done(key, value)
			failures = 0
			continue
		}
		if failures++; failures == 1 {
			g.log.Warn("failed to write the record of a part in quarantine; retrying until it succeeds", zap.String("key", key), telemetry.Err(err))
		}
		wait.For(ctx, follow.Backoff(failures))
	}
}

// pendingWrites holds the newest value to write of each key; a nil value removes the key. It is safe for
// concurrent use.
type pendingWrites struct {
	mu     sync.Mutex
	values map[string][]byte
	added  chan struct{}
}

func newPendingWrites() *pendingWrites {
	return &pendingWrites{values: make(map[string][]byte), added: make(chan struct{}, 1)}
}

func (p *pendingWrites) add(key string, value []byte) {
	p.mu.Lock()
	p.values[key] = value
	p.mu.Unlock()
	select {
	case p.added <- struct{}{}:
	default:
	}
}

// next waits for a write. It reports false if ctx ends first.
func (p *pendingWrites) next(ctx context.Context) (string, []byte, bool) {
	for {
		p.mu.Lock()
		for key, value := range p.values {
			p.mu.Unlock()
			return key, value, true
		}
		p.mu.Unlock()
		select {
		case <-ctx.Done():
			return "", nil, false
		case <-p.added:
		}
	}
}

// done removes a write unless the key has got another value meanwhile.
func (p *pendingWrites) done(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if string(p.values[key]) == string(value) {
		delete(p.values, key)
	}
}
