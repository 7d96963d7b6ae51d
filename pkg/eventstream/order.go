package eventstream

import (
	"math/big"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// minEqualSteps is the number of equal steps from which on an event beyond the next one is taken to show that others
	// are missing. Steps of 1 show it at once, because such ids count the events.
	minEqualSteps = 2
	// maxDigits bounds the ids that are compared as numbers.
	maxDigits = 1000
	// maxQuotedBytes bounds the bytes of an id that an error quotes.
	maxQuotedBytes = 80
)

// Order checks that the ids of the events of one response increase, also where another server continues it. Ids are integers
// of any size, with any steps between them. Other ids have no order: only one that repeats the last one, or the first one where
// the stream is continued, is refused. An Order is not safe for concurrent use.
type Order struct {
	// last is the id of the last event that has one, and first that of the first.
	last, first string
	// number is the last id that is an integer; numbered is false if there was none.
	number   integer
	numbered bool
	// step is the difference of successive ids, steps is how often it has been seen, and uneven means that there were others.
	step   integer
	steps  int
	uneven bool
	// unnamed is true if an event without an id followed the last id.
	unnamed bool
	// continued is true from the first time on that another server continues the response, and resuming until its first event.
	continued, resuming bool
}

// NewOrder returns the order of the events after the event that the caller names as the last one that it has; empty if it
// names none.
func NewOrder(last string) Order {
	o := Order{last: last}
	o.number, o.numbered = parseInteger(last)
	return o
}

// Last returns the id after which the response can be continued; empty if no event had one.
func (o *Order) Last() string { return o.last }

// Resumable reports whether Last names the last event, so that another server can continue after it.
func (o *Order) Resumable() bool { return !o.unnamed }

// Resume is called before the events of another server that continues the response.
func (o *Order) Resume() { o.continued, o.resuming = true, true }

// Accept records an event, or returns an error if it cannot follow the previous ones: it repeats one, or, where another
// server continues the response, others are missing before it or it may be an error of that server.
func (o *Order) Accept(e Event) error {
	if e.Comment {
		return nil
	}
	if e.ID == "" {
		if o.continued && o.last != "" {
			return errors.Newf("an event without an id cannot be told from an error of the server that continues the stream after event %s", quote(o.last))
		}
		o.unnamed = true
		return nil
	}
	n, numbered := parseInteger(e.ID)
	if err := o.check(e.ID, n, numbered); err != nil {
		return err
	}
	o.recordStep(n, numbered)
	if o.first == "" {
		o.first = e.ID
	}
	o.last, o.unnamed, o.resuming = e.ID, false, false
	if numbered {
		o.number, o.numbered = n, true
	}
	return nil
}

func (o *Order) check(id string, n integer, numbered bool) error {
	switch {
	case id == o.last:
		return errors.Newf("event %s is repeated", quote(id))
	case numbered && o.numbered && n.compare(o.number) <= 0:
		return errors.Newf("the ids of the events do not increase: %s comes after %s", quote(id), quote(o.last))
	case o.continued && o.numbered && !numbered:
		return errors.Newf("event %s of the server that continues the stream after event %s has no number", quote(id), quote(o.last))
	case o.resuming && id == o.first:
		return errors.Newf("the stream begins again with event %s after event %s", quote(id), quote(o.last))
	case o.resuming && numbered && o.skips(n):
		return errors.Newf("event stream has a gap: event %s does not follow event %s, as its ids count the events or increase by equal steps", quote(id), quote(o.last))
	}
	return nil
}

// quote quotes the beginning of an id.
func quote(id string) string { return strconv.Quote(id[:min(len(id), maxQuotedBytes)]) }

// skips reports whether an event lies beyond the next one of a stream whose ids increase by equal steps. One that has begun
// with 1 counts its events.
func (o *Order) skips(n integer) bool {
	ahead := n.minus(o.number)
	switch {
	case !o.numbered || o.uneven:
		return false
	case o.steps == 0:
		return o.first == o.last && o.number == one && ahead.compare(one) > 0
	case o.steps < minEqualSteps && o.step != one:
		return false
	}
	return ahead.compare(o.step) > 0
}

// recordStep records the step to an id.
func (o *Order) recordStep(n integer, numbered bool) {
	if !numbered || !o.numbered {
		return
	}
	step := n.minus(o.number)
	if o.steps > 0 && step.compare(o.step) != 0 {
		o.uneven = true
		return
	}
	o.step = step
	o.steps++
}

// integer is an integer of any size.
type integer struct {
	small int64
	// big is the value if it does not fit small; nil otherwise.
	big *big.Int
}

var one = integer{small: 1}

// parseInteger parses decimal digits, which may follow a sign. It returns false for anything else and for more than
// maxDigits.
func parseInteger(text string) (integer, bool) {
	if text == "" {
		return integer{}, false
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err == nil {
		return integer{small: n}, true
	}
	if !errors.Is(err, strconv.ErrRange) || len(text) > maxDigits {
		return integer{}, false
	}
	value, ok := new(big.Int).SetString(text, 10)
	return integer{big: value}, ok
}

func (i integer) value() *big.Int {
	if i.big != nil {
		return i.big
	}
	return big.NewInt(i.small)
}

// compare returns a negative number if i is less than j, 0 if they are equal, and a positive number otherwise.
func (i integer) compare(j integer) int {
	if i.big == nil && j.big == nil {
		switch {
		case i.small < j.small:
			return -1
		case i.small > j.small:
			return 1
		}
		return 0
	}
	return i.value().Cmp(j.value())
}

// minus returns i - j.
func (i integer) minus(j integer) integer {
	if d := i.small - j.small; i.big == nil && j.big == nil && (d < i.small) == (j.small > 0) {
		return integer{small: d}
	}
	d := new(big.Int).Sub(i.value(), j.value())
	if d.IsInt64() {
		return integer{small: d.Int64()}
	}
	return integer{big: d}
}
