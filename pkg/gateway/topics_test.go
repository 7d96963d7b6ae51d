package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/follow"
	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/sharedlog"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// TestTimeUntilChangeReachesEntries guards against constants with which a change of the configuration or of the
// servers reaches an entry later than the operators allow when both log readers fail just before it. The terms are
// those of docs/design/readers.md.
func TestTimeUntilChangeReachesEntries(t *testing.T) {
	const (
		bound = 2 * time.Second
		// margin is left for a busy machine, messageTime is a message and its processing there, and callTime a
		// call to the log that takes 25 times as long as usual.
		margin      = 250 * time.Millisecond
		messageTime = 50 * time.Millisecond
		callTime    = 100 * time.Millisecond
	)
	const replace = messageTime + callTime + messageTime + follow.UrgentPause + callTime
	for name, notice := range map[string]time.Duration{
		"cut off": monitorWait + follow.PollSlack,
		"stopped": directory.MaxReaderSilence + follow.LeaderCheckInterval,
	} {
		if sum := notice + replace; sum > bound-margin {
			t.Errorf("%s: a change reaches the entries after %v, want at most %v", name, sum, bound-margin)
		}
	}
	for _, others := range []int{8, 36, 148} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			// Two messages of a reader may be lost before it counts as silent.
			if interval := min(stateInterval(others), readerStateInterval); 4*interval > directory.MaxReaderSilence {
				t.Errorf("a log reader sends each %v, want four messages within %v", interval, directory.MaxReaderSilence)
			}
		})
	}
}

// announcements decodes the announcements of backend servers of a test: the value is the state.
type announcements struct{ Codec }

func (announcements) DecodeServer(id string, value []byte) (fleet.Server, error) {
	return fleet.Server{ID: id, Service: "s", Address: id, Incarnation: 1, Sequence: 1 + int64(len(value)), Draining: string(value) == "draining"}, nil
}

// TestDrainingServersNeedNoUrgentReads guards against a call to the shared log by each entry for each server that
// drains: the messages of the reader name the server. A removed server may be kept for a while, which only the
// reads of the log decide.
func TestDrainingServersNeedNoUrgentReads(t *testing.T) {
	for _, c := range []struct {
		name, value string
		urgent      bool
	}{{"drains", "draining", false}, {"removed", "", true}} {
		t.Run(c.name, func(t *testing.T) {
			g := New(settings.Instance{Name: "front-0"}, announcements{}, nil, zap.NewNop(), telemetry.NewMetrics())
			sink, servers := (*serversSink)(g), g.topics[sharedlog.Servers]
			sink.BeginSnapshot(sharedlog.Position{})
			for _, id := range []string{"i-0", "i-1"} {
				sink.Apply(sharedlog.Record{Key: id, Value: []byte("ready")})
			}
			sink.EndSnapshot()
			now := time.Now()
			servers.endRead(now)
			sink.Apply(sharedlog.Record{Key: "i-0", Value: []byte(c.value)})
			if !servers.endRead(now) {
				t.Error("the others are not told at once")
			}
			if got := servers.isUrgent(now); got != c.urgent {
				t.Errorf("the others must read the log at once: %v, want %v", got, c.urgent)
			}
			if _, usable := g.servers["i-0"]; usable {
				t.Error("the server is still used")
			}
			message := &gossip.EntryState{}
			(*sharedDrains)(g).collect(now, message)
			if _, named := message.Draining["i-0"]; named == c.urgent {
				t.Errorf("the next message names the servers %v", message.Draining)
			}
			if servers.endRead(now) {
				t.Error("a read without records is told")
			}
			if (*sharedDrains)(g).collect(now.Add(time.Second), message); len(message.Draining) > 0 {
				t.Errorf("messages still name the servers %v after a second", message.Draining)
			}
		})
	}
}

// TestDrainIsLearnedFromMessages guards against requests to a server that drains by an entry that has not read that
// in the log yet, and against a server that stays unused after it has announced again that it is ready.
func TestDrainIsLearnedFromMessages(t *testing.T) {
	g := New(settings.Instance{Name: "front-0"}, announcements{}, nil, zap.NewNop(), telemetry.NewMetrics())
	sink := (*serversSink)(g)
	sink.BeginSnapshot(sharedlog.Position{})
	sink.Apply(sharedlog.Record{Key: "i-0", Value: []byte("ready")})
	sink.EndSnapshot()
	for _, c := range []struct {
		name   string
		drain  gossip.Drain
		usable bool
	}{
		{"of an earlier incarnation", gossip.Drain{Incarnation: 0, Sequence: 9}, true},
		{"older than the announcement", gossip.Drain{Incarnation: 1, Sequence: 5}, true},
		{"newer", gossip.Drain{Incarnation: 1, Sequence: 9}, false},
	} {
		(*sharedDrains)(g).merge(time.Now(), &gossip.EntryState{Name: "front-1", Draining: map[string]gossip.Drain{"i-0": c.drain, "i-unknown": c.drain}})
		if _, usable := g.servers["i-0"]; usable != c.usable {
			t.Errorf("%s: usable %v, want %v", c.name, usable, c.usable)
		}
	}
	sink.Apply(sharedlog.Record{Key: "i-0", Value: []byte("ready again")})
	if _, usable := g.servers["i-0"]; !usable {
		t.Error("the server is not used although it has announced that it is ready")
	}
}
