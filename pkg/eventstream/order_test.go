package eventstream_test

import (
	"math/big"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/fescuehub/fescuehub/pkg/eventstream"
)

// decimal draws an integer and a way to write it.
func decimal(t *rapid.T, label string) (*big.Int, string) {
	text := rapid.StringMatching(`-?(0{0,3})(0|[1-9][0-9]{0,2}|[1-9][0-9]{17,21})`).Draw(t, label)
	n, _ := new(big.Int).SetString(text, 10)
	return n, text
}

// TestOrderAcceptsIncreasingIntegersOnly guards against sound streams that are cut, and against events that come twice or in
// another order: of the ids of one server exactly those are accepted that are greater than the last one, whatever their size.
func TestOrderAcceptsIncreasingIntegersOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		last, text := decimal(t, "last")
		order := eventstream.NewOrder(text)
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			n, id := decimal(t, "id")
			accepted := order.Accept(eventstream.Event{ID: id}) == nil
			if accepted != (n.Cmp(last) > 0) {
				t.Fatalf("event %q after %s: accepted is %v", id, last, accepted)
			}
			if accepted {
				last, text = n, id
			}
			if order.Last() != text {
				t.Fatalf("the last event is %q, want %q", order.Last(), text)
			}
		}
	})
}

// TestOrderContinuesAtNextEvent guards against sound streams that are cut where another server continues them, and against
// events that are missing there: ids with equal steps continue at the next one or before it, others at any greater one.
func TestOrderContinuesAtNextEvent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, _ := decimal(t, "first")
		step := rapid.Int64Range(2, 1<<62).Draw(t, "step")
		count := rapid.IntRange(3, 6).Draw(t, "count")
		order, last := eventstream.NewOrder(""), new(big.Int).Set(first)
		for n := range count {
			if n > 0 {
				last.Add(last, big.NewInt(step))
			}
			if err := order.Accept(eventstream.Event{ID: last.String()}); err != nil {
				t.Fatal(err)
			}
		}
		uneven := rapid.Bool().Draw(t, "uneven")
		if uneven {
			last.Add(last, big.NewInt(step+1))
			if err := order.Accept(eventstream.Event{ID: last.String()}); err != nil {
				t.Fatal(err)
			}
		}
		order.Resume()
		ahead := rapid.Int64Range(1, 1<<62).Draw(t, "ahead")
		next := new(big.Int).Add(last, big.NewInt(ahead))
		if err := order.Accept(eventstream.Event{ID: next.String()}); (err == nil) != (uneven || ahead <= step) {
			t.Fatalf("continued %d after the last event of steps of %d, uneven %v: %v", ahead, step, uneven, err)
		}
	})
}

// TestOrderBoundsWorkOnLongIDs guards against an id of a broken server that costs more than its bytes: it is not taken for
// a number.
func TestOrderBoundsWorkOnLongIDs(t *testing.T) {
	order := eventstream.NewOrder("1")
	long := strings.Repeat("9", 200_000)
	for _, id := range []string{long + "9", long} {
		if err := order.Accept(eventstream.Event{ID: id}); err != nil {
			t.Error(err)
		}
	}
	if err := order.Accept(eventstream.Event{ID: long}); err == nil || len(err.Error()) > 500 {
		t.Errorf("a repeated id: %.500v; want an error that quotes a part of it", err)
	}
}

// FuzzOrder checks that no id makes the order accept one that repeats the last one.
func FuzzOrder(f *testing.F) {
	f.Add("5", "10", "10")
	f.Add("", "a", "-0")
	f.Add("+1", "9223372036854775808", "0009223372036854775808")
	f.Fuzz(func(t *testing.T, last, id, next string) {
		order := eventstream.NewOrder(last)
		_ = order.Accept(eventstream.Event{ID: id}) // any id may be refused
		before := order.Last()
		order.Resume()
		if err := order.Accept(eventstream.Event{ID: next}); err == nil && before != "" && next == before {
			t.Errorf("event %q was accepted twice", next)
		}
		if order.Last() != before && order.Last() != next {
			t.Errorf("the last event is %q, want %q or %q", order.Last(), before, next)
		}
	})
}
