package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/wait"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

const (
	// claimAppendsPerSecond limits the records that all agents together append. Claims that
	// arrive between two appends share a record.
	claimAppendsPerSecond = 240
	// initialAppendsPerSecond is the limit of one agent until it knows its share.
	initialAppendsPerSecond = 4
	claimPageRecords        = 1000
	claimReadWait           = 10 * time.Second
	claimRetryPause         = 300 * time.Millisecond
	// markerJitter spreads the marker appends of agents that start at the same time.
	markerJitter = 500 * time.Millisecond
)

// partition is one claim stream and the ledger of its keys.
type partition struct {
	writes *writeExecutor
	// stream is empty if the keys are permits.
	stream string
	// firstClaim is closed when the first claim is queued.
	firstClaim     chan struct{}
	firstClaimOnce sync.Once
	// appendWake wakes appendLoop.
	appendWake chan struct{}

	mu     sync.Mutex
	ledger *writeonce.Partition
	// changed is closed and replaced whenever the ledger has changed.
	changed chan struct{}
	// openedAt is the time of the first record of the stream, or zero until one was seen.
	openedAt time.Time
	running  map[string]*execution
}

// run opens the stream. From the first claim on, it appends claims and reads the stream until ctx
// is cancelled.
func (p *partition) run(ctx context.Context) {
	p.openStream(ctx)
	select {
	case <-ctx.Done():
		return
	case <-p.firstClaim:
	}
	go p.appendLoop(ctx)
	for ctx.Err() == nil {
		if err := p.read(ctx); err != nil {
			wait.For(ctx, claimRetryPause)
		}
	}
}

// countKeys runs change and updates the total number of keys by what it added or removed. The
// caller must hold p.mu.
func (p *partition) countKeys(change func()) {
	before := p.ledger.Len()
	change()
	p.writes.keys.Add(int64(p.ledger.Len() - before))
}

// openStream makes sure that the stream has a record, so that keys created after that record are
// covered.
func (p *partition) openStream(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := p.writes.client.Read(ctx, p.stream, 0, 1, 0)
		if err == nil && len(page.Records) > 0 {
			p.mu.Lock()
			p.openedAt = time.UnixMilli(page.Records[0].TimeMS)
			p.mu.Unlock()
			return
		}
		if err == nil {
			err = p.appendMarkerIfEmpty(ctx)
		}
		if err != nil {
			wait.For(ctx, claimRetryPause)
		}
	}
}

// appendMarkerIfEmpty appends a marker to an empty stream, unless another agent has done so by
// then: several agents may find the stream empty at the same time.
func (p *partition) appendMarkerIfEmpty(ctx context.Context) error {
	wait.For(ctx, rand.N(markerJitter))
	page, err := p.writes.client.Read(ctx, p.stream, 0, 1, 0)
	if err != nil || len(page.Records) > 0 {
		return err
	}
	return p.appendMarker(ctx)
}

func (p *partition) appendMarker(ctx context.Context) error {
	data, err := writeonce.EncodeBatch(writeonce.Batch{ID: uuid.NewString(), Agent: p.writes.self})
	if err != nil {
		return err
	}
	_, err = p.writes.client.Append(ctx, p.stream, data)
	return err
}

// read waits for new records and applies them to the ledger.
func (p *partition) read(ctx context.Context) error {
	p.mu.Lock()
	next, from, hasRecords, regressed := p.ledger.Claims().NextOffset(), p.ledger.Claims().ReadOffset(), p.ledger.Claims().HasRecords(), p.ledger.Claims().Regressed()
	p.mu.Unlock()
	if hasRecords && !regressed {
		page, err := p.writes.client.Read(ctx, p.stream, next, 1, claimReadWait)
		if err != nil || len(page.Records) == 0 && page.Next >= next {
			return err
		}
	}
	page, err := p.writes.client.Read(ctx, p.stream, from, claimPageRecords, 0)
	if err != nil {
		return err
	}
	if p.observe(from, page) {
		p.writes.scope.Counter("claims_stream_lost").Inc(1)
		p.writes.log.Warn("claim stream lost records; keys created before the loss are refused", zap.String("stream", p.stream))
	}
	if !hasRecords && len(page.Records) == 0 {
		return p.appendMarkerIfEmpty(ctx)
	}
	if regressed {
		wait.For(ctx, claimRetryPause)
	}
	return nil
}

func (p *partition) observe(from int64, page logservice.Page) (lost bool) {
	in := writeonce.Page{From: from, First: page.First, Next: page.Next, Records: make([]writeonce.Record, len(page.Records))}
	for i, r := range page.Records {
		p.writes.scope.Counter("claim_bytes_read").Inc(int64(len(r.Data)))
		in.Records[i] = writeonce.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: r.Data}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.ledger.Observe(in)
	p.notify()
	return lost
}

// notify wakes all waiting attempts. The caller must hold p.mu.
func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// wakeAppender starts the reader and the appender on the first claim and wakes the appender. The
// caller must hold p.mu.
func (p *partition) wakeAppender() {
	p.firstClaimOnce.Do(func() { close(p.firstClaim) })
	select {
	case p.appendWake <- struct{}{}:
	default:
	}
}

// appendLoop appends queued claims until ctx is cancelled.
func (p *partition) appendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.appendWake:
		}
		for p.hasQueuedClaims() && p.writes.appendLimit.Wait(ctx) == nil {
			p.appendBatch(ctx)
		}
	}
}

func (p *partition) hasQueuedClaims() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.QueuedClaims() > 0
}

// appendBatch appends the next queued claims as one record.
func (p *partition) appendBatch(ctx context.Context) {
	p.mu.Lock()
	claims := p.ledger.DequeueClaims()
	p.mu.Unlock()
	data, err := writeonce.EncodeBatch(writeonce.Batch{ID: uuid.NewString(), Agent: p.writes.self, Claims: claims})
	var offset int64
	if err == nil {
		offset, err = p.writes.client.Append(ctx, p.stream, data)
	}
	p.writes.scope.Counter("claim_records_appended").Inc(1)
	p.writes.scope.Counter("claims_appended").Inc(int64(len(claims)))
	p.writes.scope.Counter("claim_bytes_appended").Inc(int64(len(data)))
	p.recordAppend(claims, offset, err)
}

func (p *partition) recordAppend(claims []writeonce.Claim, offset int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var failure *problem.Error
	if err != nil {
		failure = problem.Of(err)
		p.writes.scope.Counter("claim_appends_failed").Inc(1)
	}
	p.ledger.AppendDone(p.writes.elapsed(), claims, offset, failure)
	p.notify()
}

// setAppendShare divides the limit on appends evenly among the agents that append claims. owners
// is their number.
func (w *writeExecutor) setAppendShare(owners int) {
	share := max(1, claimAppendsPerSecond/max(1, owners))
	if w.appendLimit.Burst() != share {
		w.appendLimit.SetLimit(rate.Limit(share))
		w.appendLimit.SetBurst(share)
	}
}
