package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
)

const (
	service = "model"
	// idlePause is the time between two looks for work of a group without any.
	idlePause = 10 * time.Millisecond
	// gossipPause is the time between two messages of an entry to the others.
	gossipPause = 250 * time.Millisecond
	// firstEvent is the usual time to a first event.
	firstEvent = 250 * time.Millisecond
)

// stream is one caller's stream.
type stream struct {
	arrived time.Time
	topic   int
	entry   int
	engine  int
	began   time.Time
	// unread is what is left of the prompt.
	unread  float64
	events  int
	last    time.Time
	late    bool
	again   bool
	counted *second
}

type engine struct{ waiting, running []*stream }

// world is a run under way.
type world struct {
	site    Site
	load    Load
	variant Variant
	random  *rand.Rand
	clock   *virtualtime.Queue
	service *fleet.Service
	servers []fleet.Server
	entries []*balance.Balancer
	engines []*engine
	// ranks holds the place of each server in engines.
	ranks map[string]int
	// reported are the loads that the engines' reports show.
	reported []balance.EngineLoad
	demand   blend
	present  [][][]int
	step     int64
	pass     time.Duration
	planner  *planner
	result   *Result
}

func newWorld(s Site, l Load, v Variant, seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 9))
	if l.ArrivalFactor > 0 {
		s.ArrivalsPerSecond *= l.ArrivalFactor
	}
	w := &world{
		site: s, load: l, variant: v, random: random, clock: virtualtime.NewQueue(), result: newResult(s, l, v),
		service: &fleet.Service{Name: service, Engine: &fleet.Engine{Slots: s.Slots, MeanPromptTokens: s.PromptTokens, MeanAnswerTokens: float64(s.EventsPerStream * s.StepsPerEvent)}},
		ranks:   make(map[string]int),
		present: evenplan.Uniform(s.Sets, s.Experts, s.Ranks),
	}
	first := newDemand(random, s)
	w.demand = blend{first, first, 1}
	for r := range s.Ranks {
		w.servers = append(w.servers, fleet.Server{ID: fmt.Sprint(r), Service: service, Address: fmt.Sprintf("r%d:1", r), Incarnation: 1})
		w.ranks[w.servers[r].ID] = r
		w.engines = append(w.engines, &engine{})
	}
	for range s.Entries {
		b := balance.New()
		b.SetServers(w.servers)
		w.entries = append(w.entries, b)
	}
	w.planner = newPlanner(w)
	return w
}

// run plays the load and returns its figures.
func (w *world) run() Result {
	w.arrive()
	w.begin()
	w.clock.Every(reportLag, w.report)
	w.clock.Every(w.variant.PollInterval, w.planner.look)
	w.clock.Every(gossipPause, w.gossip)
	if w.load.ShiftInterval > 0 {
		w.clock.Every(w.load.ShiftInterval, w.shift)
	}
	w.clock.RunUntil(w.load.Length + 2*leaveTime)
	return w.result.finish()
}

// arrive lets callers come for as long as the load lasts.
func (w *world) arrive() {
	pause := time.Duration(w.random.ExpFloat64() / w.site.ArrivalsPerSecond * float64(time.Second))
	w.clock.After(pause, func() {
		if w.clock.Elapsed() > w.load.Length {
			return
		}
		w.arrive()
		s := &stream{arrived: w.clock.Now(), topic: w.random.IntN(topics), entry: w.random.IntN(w.site.Entries)}
		s.counted = w.result.asked(w.clock.Elapsed())
		w.send(s)
	})
}

// send sends a stream to an engine, or refuses it as an entry does.
func (w *world) send(s *stream) {
	now := w.clock.Now()
	b := w.entries[s.entry]
	server, _ := b.Choose(now, w.service, nil, w.random.Float64)
	wait := b.ExpectedWait(now, w.service, server.ID)
	refuses := b.ShouldRefuse(now, service, wait, balance.QueueLimits{MaxWait: w.site.FirstEventTarget, MaxWaitStanding: w.site.FirstEventTarget - firstEvent})
	if w.variant.RefuseRequests && (refuses || wait+firstEvent > leaveTime) {
		w.refuse(s)
		return
	}
	s.engine = w.ranks[server.ID]
	b.Begin(now, server.ID, int(w.site.PromptTokens))
	s.began, s.last, s.unread = now, now, w.site.PromptTokens
	w.engines[s.engine].waiting = append(w.engines[s.engine].waiting, s)
}

func (w *world) refuse(s *stream) {
	if s.again {
		s.counted.refused++
		return
	}
	s.again = true
	w.clock.After(comeBack, func() { w.send(s) })
}

// report takes what the engines have, for the planner to pass on.
func (w *world) report() {
	w.reported = w.reported[:0]
	for r, e := range w.engines {
		w.reported = append(w.reported, balance.EngineLoad{Address: w.servers[r].Address, Born: 1, Running: len(e.running), Waiting: len(e.waiting)})
	}
}

// gossip lets the entries tell each other what they have in flight.
func (w *world) gossip() {
	now := w.clock.Now()
	for i, from := range w.entries {
		loads := from.OwnLoads()
		for j, to := range w.entries {
			if i != j {
				to.SetEntryLoads(now, fmt.Sprint(i), loads)
			}
		}
	}
}

// shift lets other experts be in demand.
func (w *world) shift() {
	next := w.demand.to.shifted()
	w.demand = blend{w.demand.to, next, 0}
	const steps = 8
	for n := range steps {
		w.clock.After(shiftTime*time.Duration(n+1)/steps, func() { w.demand.part = float64(n+1) / steps })
	}
}
