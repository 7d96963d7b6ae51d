package engine

import (
	"slices"
	"time"
)

// sequence is one request in the engine.
type sequence struct {
	id       string
	priority int
	// ready is when the prompt has been processed.
	ready time.Time
	// begin, next and end are token indexes.
	begin, next, end int
	marker           string
	// tokens is closed after the last token, or at cancellation.
	tokens chan string
}

// batch holds the running and the waiting sequences. Callers hold the lock of
// the engine.
type batch struct {
	running []*sequence
	waiting []*sequence
}

// admit moves waiting sequences into the batch, highest priority first.
func (b *batch) admit(limit int) {
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return y.priority - x.priority })
	n := min(len(b.waiting), max(0, limit-len(b.running)))
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// advance gives one token to each running sequence whose prompt is ready.
func (b *batch) advance(now time.Time) (produced, finished int) {
	kept := b.running[:0]
	for _, seq := range b.running {
		if now.Before(seq.ready) {
			kept = append(kept, seq)
			continue
		}
		if seq.next < seq.end {
			seq.tokens <- token(seq.marker, seq.next)
			seq.next++
			produced++
		}
		if seq.next < seq.end {
			kept = append(kept, seq)
			continue
		}
		close(seq.tokens)
		finished++
	}
	clear(b.running[len(kept):])
	b.running = kept
	return produced, finished
}

// remove takes a sequence out and reports whether it was still in.
func (b *batch) remove(seq *sequence) bool {
	before := len(b.running) + len(b.waiting)
	isSeq := func(s *sequence) bool { return s == seq }
	b.running = slices.DeleteFunc(b.running, isSeq)
	b.waiting = slices.DeleteFunc(b.waiting, isSeq)
	return len(b.running)+len(b.waiting) < before
}

func (b *batch) all() []*sequence {
	return slices.Concat(b.running, b.waiting)
}
