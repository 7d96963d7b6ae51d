package engine

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/expertplan"
	"github.com/fescuehub/fescuehub/pkg/ident"
	peer "github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
)

// RankOptions configures an engine as one rank of a group whose ranks run their steps in lock-step.
type RankOptions struct {
	Group string
	Rank  int
	// Peers holds the base URLs of all ranks of the group, in the order of the ranks.
	Peers           []string
	Layers, Experts int
	ExpertBytes     int64
}

const (
	resendInterval = 100 * time.Millisecond
	maxKeptSteps   = 1 << 14
	// replicaSlots is the number of additional replicas that fit into a rank's memory, in experts
	// per layer.
	replicaSlots = 1
	maxMapBytes  = 64 << 20
)

// rank simulates the steps of one rank. The ranks of a group synchronise before each step with a
// barrier, for which they exchange the reports of their gates.
type rank struct {
	options      RankOptions
	stepTime     time.Duration
	checkFencing bool
	faults       *faults.Injector[Faults]
	incarnation  ident.Incarnation
	links        []*rankLink

	mu         sync.Mutex
	gate       *expertmap.Gate
	maps       []expertmap.Map
	popularity [][]float64
	steps      []peer.StepRecord
	fencing    int64
}

func newRank(o Options, f *faults.Injector[Faults]) *rank {
	id := ident.NewIncarnation(o.Name)
	r := &rank{
		options:      o.Rank,
		stepTime:     o.StepTime,
		checkFencing: o.CheckFencing,
		faults:       f,
		incarnation:  id,
		gate:         expertmap.NewGate(o.Rank.Rank, len(o.Rank.Peers), id, expertmap.AllChecks),
	}
	first := expertmap.Map{Ranks: len(o.Rank.Peers)}
	for range o.Rank.Layers {
		first.Layers = append(first.Layers, expertplan.Uniform(first.Ranks, o.Rank.Experts))
		r.popularity = append(r.popularity, slices.Repeat([]float64{1}, o.Rank.Experts))
	}
	r.maps = []expertmap.Map{first}
	r.gate.Install(first.Version)
	for i, url := range o.Rank.Peers {
		if i != o.Rank.Rank {
			r.links = append(r.links, newRankLink(url))
		}
	}
	return r
}

func (r *rank) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+peer.RankStatePath, r.serveState)
	mux.HandleFunc("GET "+peer.RankMapPath, r.serveMap)
	mux.HandleFunc("POST "+peer.RankMapPath, r.serveInstall)
	mux.HandleFunc("GET "+peer.RankPopularityPath, r.servePopularity)
	mux.HandleFunc("PUT "+peer.RankPopularityPath, r.serveSetPopularity)
	mux.HandleFunc("POST "+peer.RankBarrierPath, r.serveBarrier)
	mux.HandleFunc("GET "+peer.RankStepsPath, r.serveSteps)
}

// run resends the report of a waiting rank every resendInterval until ctx ends, since reports may be
// lost.
func (r *rank) run(ctx context.Context) {
	for _, l := range r.links {
		go l.run(ctx)
	}
	ticker := time.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		r.mu.Lock()
		r.perform(r.gate.ResendReport())
		r.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// perform executes the actions of the gate: it sends a report and starts a step. The caller must
// hold r.mu.
func (r *rank) perform(a expertmap.Actions) {
	if a.Send != nil {
		for _, l := range r.links {
			l.enqueue(*a.Send)
		}
	}
	if a.Enter == nil {
		return
	}
	if len(r.steps) >= maxKeptSteps {
		r.steps = slices.Delete(r.steps, 0, maxKeptSteps/2)
	}
	r.steps = append(r.steps, peer.StepRecord{Step: a.Enter.Step, Version: a.Enter.Version})
	time.AfterFunc(r.stepDuration(a.Enter.Version), r.finishStep)
}

func (r *rank) finishStep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.gate.FinishStep())
}

// stepDuration returns the duration of a step with map v. It is proportional to the rank's share of
// the load of the group, and equals stepTime for an even share at speed 1.
func (r *rank) stepDuration(v expertmap.Version) time.Duration {
	load, total := 0.0, 0.0
	m := r.mapByVersion(v)
	for l, layer := range m.Layers {
		for e, replicas := range layer {
			total += r.popularity[l][e]
			for _, c := range replicas {
				if c.Rank == r.options.Rank {
					load += c.Share * r.popularity[l][e]
				}
			}
		}
	}
	relativeLoad := load / math.Max(total, math.SmallestNonzeroFloat64) * float64(m.Ranks) / r.speed()
	return time.Duration(relativeLoad*float64(r.stepTime)) + time.Duration(r.faults.Get().RankStallMS)*time.Millisecond
}

func (r *rank) speed() float64 {
	if s := r.faults.Get().RankSpeed; s > 0 {
		return s
	}
	return 1
}

func (r *rank) mapByVersion(v expertmap.Version) expertmap.Map {
	i := slices.IndexFunc(r.maps, func(m expertmap.Map) bool { return m.Version == v })
	return r.maps[i]
}

func (r *rank) state() peer.RankState {
	stall := time.Duration(r.faults.Get().RankStallMS) * time.Millisecond
	return peer.RankState{
		Group:       r.options.Group,
		Rank:        r.options.Rank,
		Ranks:       len(r.options.Peers),
		Incarnation: r.incarnation,
		Loaded:      r.gate.Loaded(),
		Current:     r.gate.Current(),
		Step:        r.gate.Step(),
		Missing:     r.gate.MissingReports(),
		Slots:       (r.options.Experts+len(r.options.Peers)-1)/len(r.options.Peers) + replicaSlots,
		ExpertBytes: r.options.ExpertBytes,
		Speed:       r.speed() * float64(r.stepTime) / float64(r.stepTime+stall),
	}
}

func (r *rank) serveState(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, r.state())
}

func (r *rank) serveMap(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, r.mapByVersion(expertmap.Newest(r.gate.Loaded())))
}

func (r *rank) serveInstall(w http.ResponseWriter, req *http.Request) {
	var order peer.MapOrder
	if !readJSON(w, req, &order) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.install(order); err != nil {
		problem.Write(w, err)
		return
	}
	writeJSON(w, r.state())
}

func (r *rank) install(order peer.MapOrder) error {
	if order.Incarnation != r.incarnation {
		return problem.New(problem.WrongIncarnation, "load the weights again", "the rank has restarted")
	}
	if r.checkFencing && order.Fencing < r.fencing {
		return problem.New(problem.FencedOff, "stop sending orders", "fencing number %d is older than %d", order.Fencing, r.fencing)
	}
	if err := order.Map.Validate(); err != nil {
		return err
	}
	r.fencing = max(r.fencing, order.Fencing)
	if r.gate.Install(order.Map.Version) {
		loaded := r.gate.Loaded()
		r.maps = slices.DeleteFunc(r.maps, func(m expertmap.Map) bool { return !slices.Contains(loaded, m.Version) })
		r.maps = append(r.maps, order.Map)
	}
	return nil
}

func (r *rank) servePopularity(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, peer.Popularity{Layers: r.popularity})
}

func (r *rank) serveSetPopularity(w http.ResponseWriter, req *http.Request) {
	var p peer.Popularity
	if !readJSON(w, req, &p) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(p.Layers) != len(r.popularity) || slices.ContainsFunc(p.Layers, func(l []float64) bool {
		return len(l) != r.options.Experts || slices.Min(l) < 0 || math.IsNaN(slices.Max(l))
	}) {
		problem.Write(w, problem.New(problem.BadRequest, "send a load for each expert of each layer", "the number of layers or experts differs from the model, or a load is negative or not a number"))
		return
	}
	r.popularity = p.Layers
	writeJSON(w, p)
}

func (r *rank) serveBarrier(w http.ResponseWriter, req *http.Request) {
	var report expertmap.Report
	if !readJSON(w, req, &report) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.gate.Receive(report))
	w.WriteHeader(http.StatusNoContent)
}

func (r *rank) serveSteps(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	writeJSON(w, r.steps)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxMapBytes)).Decode(into); err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "send the JSON document that the path requires", "%v", err))
		return false
	}
	return true
}
