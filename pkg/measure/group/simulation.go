package group

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
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

// simulation is the state of one simulation.
type simulation struct {
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

func newSimulation(s Site, l Load, v Variant, seed uint64) *simulation {
	random := rand.New(rand.NewPCG(seed, 9))
	if l.ArrivalFactor > 0 {
		s.ArrivalsPerSecond *= l.ArrivalFactor
	}
	sim := &simulation{
		site: s, load: l, variant: v, random: random, clock: virtualtime.NewQueue(), result: newResult(s, l, v),
		service:      &fleet.Service{Name: serviceName, Engine: &fleet.Engine{Slots: s.Slots, MeanPromptTokens: s.PromptTokens, MeanAnswerTokens: float64(s.EventsPerStream * s.StepsPerEvent)}},
		rankByServer: make(map[string]int),
		currentMap:   evenplan.Uniform(s.Sets, s.Experts, s.Ranks),
	}
	first := newDemand(random, s)
	sim.demand = demandBlend{first, first, 1}
	for r := range s.Ranks {
		sim.servers = append(sim.servers, fleet.Server{ID: fmt.Sprint(r), Service: serviceName, Address: fmt.Sprintf("r%d:1", r), Incarnation: 1})
		sim.rankByServer[sim.servers[r].ID] = r
		sim.engines = append(sim.engines, &engine{})
	}
	for range s.Entries {
		b := balance.New(ratelimit.New(""))
		b.SetServers(sim.servers)
		sim.entries = append(sim.entries, b)
	}
	sim.planner = newPlanner(sim)
	return sim
}

// run simulates the load and returns its results.
func (sim *simulation) run() Result {
	sim.scheduleArrival()
	sim.beginPass()
	sim.clock.Every(reportInterval, sim.report)
	sim.clock.Every(sim.variant.PollInterval, sim.planner.poll)
	sim.clock.Every(gossipInterval, sim.gossip)
	if sim.load.ShiftInterval > 0 {
		sim.clock.Every(sim.load.ShiftInterval, sim.startShift)
	}
	sim.clock.RunUntil(sim.load.Length + 2*abandonAfter)
	return sim.result.summarise()
}

// scheduleArrival schedules the next caller, until the end of the load.
func (sim *simulation) scheduleArrival() {
	pause := time.Duration(sim.random.ExpFloat64() / sim.site.ArrivalsPerSecond * float64(time.Second))
	sim.clock.After(pause, func() {
		if sim.clock.Elapsed() > sim.load.Length {
			return
		}
		sim.scheduleArrival()
		s := &stream{arrived: sim.clock.Now(), topic: sim.random.IntN(topics), entry: sim.random.IntN(sim.site.Entries)}
		s.arrivalSecond = sim.result.recordArrival(sim.clock.Elapsed())
		sim.send(s)
	})
}

// send sends a stream to an engine, or refuses it as an entry does.
func (sim *simulation) send(s *stream) {
	now := sim.clock.Now()
	b := sim.entries[s.entry]
	server, _ := b.Choose(now, sim.service, nil, sim.random.Float64)
	wait := b.ExpectedWait(now, sim.service, server.ID)
	refuses := b.ShouldRefuse(now, serviceName, wait, balance.QueueLimits{MaxWait: sim.site.FirstEventTarget, MaxWaitStanding: sim.site.FirstEventTarget - usualFirstEventTime})
	if sim.variant.RefuseRequests && (refuses || wait+usualFirstEventTime > abandonAfter) {
		sim.refuse(s)
		return
	}
	s.engine = sim.rankByServer[server.ID]
	b.Begin(now, server.ID, int(sim.site.PromptTokens))
	s.sentAt, s.lastEvent, s.promptLeft = now, now, sim.site.PromptTokens
	sim.engines[s.engine].waiting = append(sim.engines[s.engine].waiting, s)
}

// refuse refuses a stream. Its caller tries again once.
func (sim *simulation) refuse(s *stream) {
	if s.retried {
		s.arrivalSecond.refused++
		return
	}
	s.retried = true
	sim.clock.After(retryDelay, func() { sim.send(s) })
}

// report records the loads of the engines, which the planner passes on to the entries.
func (sim *simulation) report() {
	sim.reported = sim.reported[:0]
	for r, e := range sim.engines {
		sim.reported = append(sim.reported, balance.EngineLoad{Address: sim.servers[r].Address, Incarnation: 1, Running: len(e.running), Waiting: len(e.waiting)})
	}
}

// gossip exchanges the loads in flight between the entries.
func (sim *simulation) gossip() {
	now := sim.clock.Now()
	for i, from := range sim.entries {
		loads := from.OwnLoads()
		for j, to := range sim.entries {
			if i != j {
				to.SetEntryLoads(now, fmt.Sprint(i), loads)
			}
		}
	}
}

// startShift begins a gradual change to another demand for experts.
func (sim *simulation) startShift() {
	next := sim.demand.to.shifted()
	sim.demand = demandBlend{sim.demand.to, next, 0}
	const increments = 8
	for n := range increments {
		sim.clock.After(shiftTime*time.Duration(n+1)/increments, func() { sim.demand.progress = float64(n+1) / increments })
	}
}
