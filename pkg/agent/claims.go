package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writeonce"
)

const (
	// claimAppendsPerSecond bounds the records that one agent appends, over all
	// partitions. Claims that arrive meanwhile go into one record.
	claimAppendsPerSecond = 4
	// claimsPerRecord bounds one record.
	claimsPerRecord = 2000
	claimPage       = 1000
	claimReadWait   = 10 * time.Second
	claimRetryPause = 300 * time.Millisecond
	// claimPause is how long new claims are refused after a failed append.
	claimPause = time.Second
	// logRetryAfter is when a caller may come back while the log is down.
	logRetryAfter = 5 * time.Second
)

// ticket is a claim on its way to the log. It is guarded by the lock of its
// partition.
type ticket struct {
	// offset of the record, -1 until the log has confirmed it.
	offset int64
	err    *problem.Error
}

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
	ledger  *writeonce.Ledger
	changed chan struct{}
	// opened is when the stream was first seen with a record.
	opened  time.Time
	queue   []writeonce.Claim
	pending map[string]*ticket
	running map[string]*execution
	// pausedUntil refuses new claims at once after a failed append.
	pausedUntil time.Time
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
			sleep(ctx, claimRetryPause)
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
			err = p.appendMarker(ctx)
		}
		if err != nil {
			sleep(ctx, claimRetryPause)
		}
	}
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
	next, from, open, behind := p.ledger.Claims().Next(), p.ledger.Claims().From(), p.ledger.Claims().Open(), p.ledger.Claims().Behind()
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
	if p.observe(page) {
		p.writes.scope.Counter("claims_stream_lost").Inc(1)
		p.writes.log.Warn("claim stream lost records; keys made before are refused", zap.String("stream", p.stream))
	}
	if !open && len(page.Records) == 0 {
		return p.appendMarker(ctx)
	}
	if behind {
		sleep(ctx, claimRetryPause)
	}
	return nil
}

func (p *partition) observe(page logservice.Page) (lost bool) {
	in := writeonce.Page{First: page.First, Next: page.Next, Records: make([]writeonce.Record, len(page.Records))}
	for i, r := range page.Records {
		p.writes.scope.Counter("claim_bytes_read").Inc(int64(len(r.Data)))
		in.Records[i] = writeonce.Record{Offset: r.Offset, Time: time.UnixMilli(r.TimeMS), Data: r.Data}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.ledger.Claims().Observe(in)
	for key, t := range p.pending {
		if t.offset >= 0 && t.offset < p.ledger.Claims().Next() {
			delete(p.pending, key)
		}
	}
	p.notify()
	return lost
}

// notify wakes every try that waits. The caller holds the lock.
func (p *partition) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// claim queues a claim of the key, or joins one that is on its way. The caller
// holds the lock.
func (p *partition) claim(k writeonce.Key, d writeonce.Digest, now time.Time) *ticket {
	p.useOnce.Do(func() { close(p.used) })
	if t, ok := p.pending[k.String()]; ok {
		return t
	}
	if now.Before(p.pausedUntil) {
		return &ticket{offset: -1, err: logDown()}
	}
	t := &ticket{offset: -1}
	p.pending[k.String()] = t
	p.queue = append(p.queue, writeonce.Claim{Key: k.String(), Digest: d[:]})
	select {
	case p.appendUp <- struct{}{}:
	default:
	}
	return t
}

// appendAll appends queued claims until ctx ends.
func (p *partition) appendAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.appendUp:
		}
		if p.writes.limit.Wait(ctx) != nil {
			return
		}
		for p.appendBatch(ctx) {
			if p.writes.limit.Wait(ctx) != nil {
				return
			}
		}
	}
}

// appendBatch appends one record and reports whether more claims are queued.
func (p *partition) appendBatch(ctx context.Context) bool {
	p.mu.Lock()
	n := min(len(p.queue), claimsPerRecord)
	claims := p.queue[:n:n]
	p.queue = p.queue[n:]
	p.mu.Unlock()
	if n == 0 {
		return false
	}
	data, err := writeonce.EncodeBatch(writeonce.Batch{ID: uuid.NewString(), Agent: p.writes.self, Claims: claims})
	var offset int64
	if err == nil {
		offset, err = p.writes.client.Append(ctx, p.stream, data)
	}
	p.writes.scope.Counter("claim_records_appended").Inc(1)
	p.writes.scope.Counter("claims_appended").Inc(int64(n))
	p.writes.scope.Counter("claim_bytes_appended").Inc(int64(len(data)))
	return p.appended(claims, offset, err)
}

func (p *partition) appended(claims []writeonce.Claim, offset int64, err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.pausedUntil = time.Now().Add(claimPause)
		p.writes.scope.Counter("claim_appends_failed").Inc(1)
	}
	for _, c := range claims {
		t, ok := p.pending[c.Key]
		switch {
		case !ok:
		case err != nil:
			t.err = problem.Of(err)
			delete(p.pending, c.Key)
		default:
			t.offset = offset
		}
	}
	p.notify()
	return len(p.queue) > 0
}

func logDown() *problem.Error {
	return problem.New(problem.LogUnavailable, "come back later, or use a permit",
		"the log service does not take claims").WithOutcome(problem.NotRun).WithRetryAfter(logRetryAfter)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
