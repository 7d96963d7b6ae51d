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
	// claimAppendsPerSecond bounds the records that all agents together append.
	// Claims that arrive meanwhile go into one record.
	claimAppendsPerSecond = 240
	// firstAppendsPerSecond is the bound of one agent until it knows its share.
	firstAppendsPerSecond = 4
	claimPage             = 1000
	claimReadWait         = 10 * time.Second
	claimRetryPause       = 300 * time.Millisecond
	// markerSpread spreads the markers of agents that start together.
	markerSpread = 500 * time.Millisecond
)

// partition is one claim stream and the ledger of its keys.
type partition struct {
	writes *writes
	// stream is empty where the keys are permits.
	stream string
	// used is closed when the first claim arrives.
	used     chan struct{}
	useOnce  sync.Once
	appendUp chan struct{}

	mu      sync.Mutex
	ledger  *writeonce.Partition
	changed chan struct{}
	// opened is when the stream was first seen with a record.
	opened  time.Time
	running map[string]*execution
}

// run appends and reads the stream until ctx ends.
func (p *partition) run(ctx context.Context) {
	p.openStream(ctx)
	select {
	case <-ctx.Done():
		return
	case <-p.used:
	}
	go p.appendAll(ctx)
	for ctx.Err() == nil {
		if err := p.read(ctx); err != nil {
			wait.For(ctx, claimRetryPause)
		}
	}
}

// counted keeps the count of all keys over a change of the ledger. The caller
// holds the lock.
func (p *partition) counted(change func()) {
	before := p.ledger.Len()
	change()
	p.writes.keys.Add(int64(p.ledger.Len() - before))
}

// openStream makes sure that the stream holds a record, so that keys made
// later are covered.
func (p *partition) openStream(ctx context.Context) {
	for ctx.Err() == nil {
		page, err := p.writes.client.Read(ctx, p.stream, 0, 1, 0)
		if err == nil && len(page.Records) > 0 {
			p.mu.Lock()
			p.opened = time.UnixMilli(page.Records[0].TimeMS)
			p.mu.Unlock()
			return
		}
		if err == nil {
			err = p.markEmpty(ctx)
		}
		if err != nil {
			wait.For(ctx, claimRetryPause)
		}
	}
}

// markEmpty appends a marker to an empty stream, unless another agent does so
// first: many agents may find it empty at the same time.
func (p *partition) markEmpty(ctx context.Context) error {
	wait.For(ctx, rand.N(markerSpread))
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

// read waits for new records and takes them into the ledger.
func (p *partition) read(ctx context.Context) error {
	p.mu.Lock()
	next, from, open, behind := p.ledger.Claims().NextOffset(), p.ledger.Claims().ReadOffset(), p.ledger.Claims().HasRecords(), p.ledger.Claims().Regressed()
	p.mu.Unlock()
	if open && !behind {
		page, err := p.writes.client.Read(ctx, p.stream, next, 1, claimReadWait)
		if err != nil || len(page.Records) == 0 && page.Next >= next {
			return err
		}
	}
	page, err := p.writes.client.Read(ctx, p.stream, from, claimPage, 0)
	if err != nil {
		return err
	}
	if p.observe(from, page) {
		p.writes.scope.Counter("claims_stream_lost").Inc(1)
		p.writes.log.Warn("claim stream lost records; keys made before are refused", zap.String("stream", p.stream))
	}
	if !open && len(page.Records) == 0 {
		return p.markEmpty(ctx)
	}
	if behind {
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

// notify wakes every try that waits. The caller holds the lock.
func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// claimQueued wakes the goroutines that follow and append. The caller holds the
// lock.
func (p *partition) claimQueued() {
	p.useOnce.Do(func() { close(p.used) })
	select {
	case p.appendUp <- struct{}{}:
	default:
	}
}

// appendAll appends queued claims until ctx ends.
func (p *partition) appendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.appendUp:
		}
		for p.queued() && p.writes.limit.Wait(ctx) == nil {
			p.appendBatch(ctx)
		}
	}
}

func (p *partition) queued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ledger.QueuedClaims() > 0
}

// appendBatch appends one record.
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
	p.appended(claims, offset, err)
}

func (p *partition) appended(claims []writeonce.Claim, offset int64, err error) {
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

// share divides the bound on appends among the agents that claim keys.
func (w *writes) share(owners int) {
	each := max(1, claimAppendsPerSecond/max(1, owners))
	if w.limit.Burst() != each {
		w.limit.SetLimit(rate.Limit(each))
		w.limit.SetBurst(each)
	}
}
