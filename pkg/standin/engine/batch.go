package engine

import (
	"slices"
	"time"
)

// sequence is the state of one request in the engine.
type sequence struct {
	id       string
	priority int
	// promptDoneAt is the time at which the prompt has been processed.
	promptDoneAt time.Time
	// begin, next and end are token indexes: the first token to generate, the next one, and one
	// past the last.
	begin, next, end int
	tokenPrefix      string
	// tokens is closed after the last token or on cancellation.
	tokens chan string
}

// batch holds the running and the waiting sequences. Callers must hold the lock of the engine.
type batch struct {
	running []*sequence
	waiting []*sequence
}

// admit starts waiting sequences, those of the highest priority first, while fewer than limit run.
func (b *batch) admit(limit int) {
	slices.SortStableFunc(b.waiting, func(x, y *sequence) int { return y.priority - x.priority })
	n := min(len(b.waiting), max(0, limit-len(b.running)))
	b.running = append(b.running, b.waiting[:n]...)
	b.waiting = slices.Delete(b.waiting, 0, n)
}

// advance generates one token for each running sequence whose prompt has been processed. It returns
// the numbers of tokens generated and of sequences finished.
func (b *batch) advance(now time.Time) (produced, finished int) {
	remaining := b.running[:0]
	for _, seq := range b.running {
		if now.Before(seq.promptDoneAt) {
			remaining = append(remaining, seq)
			continue
		}
		if seq.next < seq.end {
			seq.tokens <- token(seq.tokenPrefix, seq.next)
			seq.next++
			produced++
		}
		if seq.next < seq.end {
			remaining = append(remaining, seq)
			continue
		}
		close(seq.tokens)
		finished++
	}
	clear(b.running[len(remaining):])
	b.running = remaining
	return produced, finished
}

// remove removes a sequence and reports whether it was running or waiting.
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
