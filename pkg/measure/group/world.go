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
	serviceName = "model"
	// idlePollInterval is the interval at which an idle group checks for work.
	idlePollInterval = 10 * time.Millisecond
	// gossipInterval is the time between two messages of an entry to the others.
	gossipInterval = 250 * time.Millisecond
	// usualFirstEventTime is the usual time to the first event after the wait for a slot.
	usualFirstEventTime = 250 * time.Millisecond
)

// stream is the stream of one caller.
type stream struct {
	arrived time.Time
	topic   int
	entry   int
	engine  int
	sentAt  time.Time
	// promptLeft is the number of prompt tokens that are not processed yet.
	promptLeft    float64
	events        int
	lastEvent     time.Time
	missedTarget  bool
	retried       bool
	arrivalSecond *secondCounts
}

type engine struct{ waiting, running []*stream }

// world is the state of one simulation.
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
	// rankByServer maps the ID of a server to its index in engines.
	rankByServer map[string]int
	// reported holds the loads in the engines' last reports.
	reported   []balance.EngineLoad
	demand     demandBlend
	currentMap [][][]int
	step       int64
	passTime   time.Duration
	planner    *planner
	result     *Result
}

func newWorld(s Site, l Load, v Variant, seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, 9))
	if l.ArrivalFactor > 0 {
		s.ArrivalsPerSecond *= l.ArrivalFactor
	}
	w := &world{
		site: s, load: l, variant: v, random: random, clock: virtualtime.NewQueue(), result: newResult(s, l, v),
		service:      &fleet.Service{Name: serviceName, Engine: &fleet.Engine{Slots: s.Slots, MeanPromptTokens: s.PromptTokens, MeanAnswerTokens: float64(s.EventsPerStream * s.StepsPerEvent)}},
		rankByServer: make(map[string]int),
		currentMap:   evenplan.Uniform(s.Sets, s.Experts, s.Ranks),
	}
	first := newDemand(random, s)
	w.demand = demandBlend{first, first, 1}
	for r := range s.Ranks {
		w.servers = append(w.servers, fleet.Server{ID: fmt.Sprint(r), Service: serviceName, Address: fmt.Sprintf("r%d:1", r), Incarnation: 1})
		w.rankByServer[w.servers[r].ID] = r
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

// run simulates the load and returns its results.
func (w *world) run() Result {
	w.scheduleArrival()
	w.beginPass()
	w.clock.Every(reportLag, w.report)
	w.clock.Every(w.variant.PollInterval, w.planner.poll)
	w.clock.Every(gossipInterval, w.gossip)
	if w.load.ShiftInterval > 0 {
		w.clock.Every(w.load.ShiftInterval, w.startShift)
	}
	w.clock.RunUntil(w.load.Length + 2*abandonAfter)
	return w.result.summarise()
}

// scheduleArrival schedules the next caller, until the end of the load.
func (w *world) scheduleArrival() {
	pause := time.Duration(w.random.ExpFloat64() / w.site.ArrivalsPerSecond * float64(time.Second))
	w.clock.After(pause, func() {
		if w.clock.Elapsed() > w.load.Length {
			return
		}
		w.scheduleArrival()
		s := &stream{arrived: w.clock.Now(), topic: w.random.IntN(topics), entry: w.random.IntN(w.site.Entries)}
		s.arrivalSecond = w.result.recordArrival(w.clock.Elapsed())
		w.send(s)
	})
}

// send sends a stream to an engine, or refuses it as an entry does.
func (w *world) send(s *stream) {
	now := w.clock.Now()
	b := w.entries[s.entry]
	server, _ := b.Choose(now, w.service, nil, w.random.Float64)
	wait := b.ExpectedWait(now, w.service, server.ID)
	refuses := b.ShouldRefuse(now, serviceName, wait, balance.QueueLimits{MaxWait: w.site.FirstEventTarget, MaxWaitStanding: w.site.FirstEventTarget - usualFirstEventTime})
	if w.variant.RefuseRequests && (refuses || wait+usualFirstEventTime > abandonAfter) {
		w.refuse(s)
		return
	}
	s.engine = w.rankByServer[server.ID]
	b.Begin(now, server.ID, int(w.site.PromptTokens))
	s.sentAt, s.lastEvent, s.promptLeft = now, now, w.site.PromptTokens
	w.engines[s.engine].waiting = append(w.engines[s.engine].waiting, s)
}

// refuse refuses a stream. Its caller tries again once.
func (w *world) refuse(s *stream) {
	if s.retried {
		s.arrivalSecond.refused++
		return
	}
	s.retried = true
	w.clock.After(retryDelay, func() { w.send(s) })
}

// report records the loads of the engines, which the planner passes on to the entries.
func (w *world) report() {
	w.reported = w.reported[:0]
	for r, e := range w.engines {
		w.reported = append(w.reported, balance.EngineLoad{Address: w.servers[r].Address, Incarnation: 1, Running: len(e.running), Waiting: len(e.waiting)})
	}
}

// gossip exchanges the loads in flight between the entries.
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

// startShift begins a gradual change to another demand for experts.
func (w *world) startShift() {
	next := w.demand.to.shifted()
	w.demand = demandBlend{w.demand.to, next, 0}
	const increments = 8
	for n := range increments {
		w.clock.After(shiftTime*time.Duration(n+1)/increments, func() { w.demand.progress = float64(n+1) / increments })
	}
}
