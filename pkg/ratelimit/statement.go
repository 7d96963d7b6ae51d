// Package ratelimit keeps the requests that all entries together send to a backend server within the
// rate that the server states in its responses.
//
// The package has no I/O, no clock and no random source of its own.
package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxRate is the rate in requests per second to which a larger one is reduced. No server takes as many.
const maxRate = 1e6

// ParseRate parses the rates that the headers of one response state, in requests per second and separated
// by commas. Of several rates the lowest one counts. It reports false if none is stated. The error names
// the first rate that is not a decimal number from 0; the others still count.
func ParseRate(list string) (rate float64, stated bool, err error) {
	if strings.TrimSpace(list) == "" {
		return 0, false, nil
	}
	rate = maxRate
	for value := range strings.SplitSeq(list, ",") {
		value = strings.TrimSpace(value)
		r, parseErr := strconv.ParseFloat(value, 64)
		if parseErr != nil || math.IsNaN(r) || math.IsInf(r, 0) || r < 0 {
			if err == nil {
				err = errors.Newf("rate %.64q is not a decimal number of requests per second", value)
			}
			continue
		}
		rate, stated = min(rate, r), true
	}
	if !stated {
		return 0, false, err
	}
	return rate, true, err
}

// Statement is what one response says about the rate limit of its server.
type Statement struct {
	Server string
	// Incarnation identifies one start of the server. Limits end with it.
	Incarnation int64
	// Limited is false if the response states no limit.
	Limited bool
	// Rate is the limit in requests per second, for the requests of all entries together.
	Rate float64
	// Sent is when the request was sent, and Received when the head of the response arrived. The server
	// made the statement in between.
	Sent, Received time.Time
}

// isNewer reports whether a statement was made after another one, as far as that is certain. A limit
// replaces one that was stated in response to an earlier request. A response without a limit ends one only
// if its request was sent after the limit had arrived: responses can overtake each other.
func (s Statement) isNewer(than Statement) bool {
	switch {
	case s.Incarnation != than.Incarnation:
		return s.Incarnation > than.Incarnation
	case than.Limited && !s.Limited:
		return !s.Sent.Before(than.Received)
	case !than.Limited && s.Limited:
		return !s.Received.Before(than.Sent)
	}
	return s.Sent.After(than.Sent)
}
