package ratelimit

import "time"

const (
	// burstTime is the time for which unused tokens are kept. A bucket holds one more.
	burstTime = 250 * time.Millisecond
	// slowStart is the time after the start of a bucket, and after its rate fell, in which it fills at
	// slowStartShare of the rate: the server has just got more than the rate, or permits of another entry
	// that granted before may still be in use.
	slowStart      = 3 * time.Second
	slowStartShare = 0.5
)

// bucket is a token bucket; one token is one request. It is empty at first.
type bucket struct {
	tokens    float64
	rate      float64
	at        time.Time
	slowUntil time.Time
	// denied counts the requests for permits that were denied and are expected to be made again, one for
	// each further token.
	denied float64
}

// refill adds the tokens since the last call, at a rate in requests per second.
func (b *bucket) refill(now time.Time, rate float64) {
	if b.at.IsZero() || rate < b.rate*tellShare {
		b.slowUntil = now.Add(slowStart)
	}
	if !b.at.IsZero() && now.After(b.at) {
		slow := min(max(b.slowUntil.Sub(b.at), 0), now.Sub(b.at))
		full := now.Sub(b.at) - slow
		added := rate*full.Seconds() + slowRate(rate)*slow.Seconds()
		b.tokens += added
		b.denied = max(b.denied-added, 0)
	}
	b.tokens = min(b.tokens, 1+rate*burstTime.Seconds())
	b.rate = rate
	if now.After(b.at) {
		b.at = now
	}
}

// slowRate returns the rate of the slow start.
func slowRate(rate float64) float64 { return max(rate*slowStartShare, min(rate, minRate)) }

// take removes a token. It reports false if there is none.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// untilNext returns the time until the bucket has a token for a further request, after the requests that
// were denied before.
func (b *bucket) untilNext(now time.Time) time.Duration {
	missing := max(1-b.tokens, 0) + b.denied
	rate := b.rate
	if now.Before(b.slowUntil) {
		rate = slowRate(rate)
	}
	return time.Duration(min(missing/rate, maxAskPause.Seconds()) * float64(time.Second))
}
