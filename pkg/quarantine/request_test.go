package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/measure/virtualtime"
	"github.com/fescuehub/fescuehub/pkg/quarantine"
)

// fingerprint returns the ID of a request in quarantine.
func fingerprint(name string) string {
	return quarantine.Fingerprint(quarantine.Identity{Method: "GET", Target: "/" + name})
}

// endServer records that a server of the service "desk" ended under a request.
func endServer(t *quarantine.Tracker, c *clock, server, request string) {
	t.RecordCrash(c.now, quarantine.Crash{Service: "desk", Server: server, At: c.now}, []string{fingerprint(request)}, false)
}

func requestRefused(t *quarantine.Tracker, c *clock, service, request string) bool {
	_, refused := t.Refused(c.now, service, []string{fingerprint(request)})
	return refused
}

func emptyTracker() *quarantine.Tracker { return quarantine.New(rand.New(rand.NewPCG(3, 4)).Float64) }

// TestOnlyTheCrashingRequestIsRefused guards against a request that is not recognised when it has ended
// servers, and against one that is refused because it ran beside another one or at a lost rack.
func TestOnlyTheCrashingRequestIsRefused(t *testing.T) {
	answer := func(tr *quarantine.Tracker, c *clock, request string) {
		tr.RecordAnswered(c.now, "desk", []string{fingerprint(request)})
		c.advance(time.Second)
	}
	for name, c := range map[string]struct {
		play func(tr *quarantine.Tracker, c *clock)
		want bool
	}{
		"one crash": {func(tr *quarantine.Tracker, c *clock) {
			endServer(tr, c, "a", "x")
		}, false},
		"one crash seen by three requests": {func(tr *quarantine.Tracker, c *clock) {
			for range 3 {
				endServer(tr, c, "a", "x")
			}
		}, false},
		"two crashes in quick succession": {func(tr *quarantine.Tracker, c *clock) {
			endServer(tr, c, "a", "x")
			c.advance(60 * time.Millisecond)
			endServer(tr, c, "b", "x")
		}, true},
		"two crashes, answered between them": {func(tr *quarantine.Tracker, c *clock) {
			endServer(tr, c, "a", "x")
			c.advance(time.Second)
			answer(tr, c, "x")
			endServer(tr, c, "b", "x")
		}, false},
		"answered before, a lost rack": {func(tr *quarantine.Tracker, c *clock) {
			answer(tr, c, "x")
			for _, server := range []string{"a", "b", "c"} {
				endServer(tr, c, server, "x")
			}
		}, false},
		"answered before, three crashes": {func(tr *quarantine.Tracker, c *clock) {
			answer(tr, c, "x")
			for _, server := range []string{"a", "b", "c"} {
				endServer(tr, c, server, "x")
				c.advance(300 * time.Millisecond)
			}
		}, true},
		"answered before, beside the one to blame": {func(tr *quarantine.Tracker, c *clock) {
			answer(tr, c, "x")
			for _, server := range []string{"a", "b", "c", "d"} {
				endServer(tr, c, server, "x")
				endServer(tr, c, server, "other")
				c.advance(300 * time.Millisecond)
			}
		}, false},
		"answered before, beside one that comes once": {func(tr *quarantine.Tracker, c *clock) {
			answer(tr, c, "x")
			for _, server := range []string{"a", "b"} {
				endServer(tr, c, server, "x")
				endServer(tr, c, server, "once")
				c.advance(700 * time.Millisecond)
				settle(tr, c)
			}
			for _, server := range []string{"c", "d"} {
				endServer(tr, c, server, "x")
				c.advance(time.Second)
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			clock := newClock()
			tracker := emptyTracker()
			c.play(tracker, clock)
			settle(tracker, clock)
			if got := requestRefused(tracker, clock, "desk", "x"); got != c.want {
				t.Errorf("the request is refused: %v, want %v", got, c.want)
			}
			if requestRefused(tracker, clock, "desk", "y") {
				t.Error("another request is refused")
			}
		})
	}
}

// TestRequestThatComesForDaysReachesFewServers guards against trials without end: a request that crashes each
// server that runs it comes every ten seconds for a week. From stableWindow after the third crash, at most
// three copies may reach servers. It is served again when an operator lifts it.
func TestRequestThatComesForDaysReachesFewServers(t *testing.T) {
	c := newClock()
	tr := emptyTracker()
	ids := []string{fingerprint("x")}
	var crashes []time.Time
	late := 0
	for n := 0; c.now.Before(virtualtime.Epoch.Add(7 * 24 * time.Hour)); n++ {
		tr.Advance(c.now)
		if _, refused := tr.Acquire(c.now, "desk", ids); !refused {
			if len(crashes) >= 3 && c.now.Sub(crashes[2]) > stableWindow {
				late++
			}
			endServer(tr, c, fmt.Sprint("s", n), "x")
			crashes = append(crashes, c.now)
		}
		c.advance(10 * time.Second)
	}
	t.Logf("%d crashes in a week, %d later than %v after the third", len(crashes), late, stableWindow)
	if late > 3 {
		t.Errorf("%d copies reached servers later than %v after the third crash, want at most 3", late, stableWindow)
	}
	if !tr.Lift(c.now, quarantine.Part{Service: "desk", ID: ids[0]}) || requestRefused(tr, c, "desk", "x") {
		t.Error("an operator cannot lift the request")
	}
}

// TestRequestIsRefusedAtItsNextService guards against a request that ends the servers of another service once
// its route has moved there.
func TestRequestIsRefusedAtItsNextService(t *testing.T) {
	c := newClock()
	tr := emptyTracker()
	for _, server := range []string{"a", "b", "c"} {
		endServer(tr, c, server, "x")
	}
	settle(tr, c)
	if requestRefused(tr, c, "next", "x") {
		t.Error("the request is refused at a service that it has not crashed")
	}
	tr.RecordCrash(c.now, quarantine.Crash{Service: "next", Server: "n", At: c.now}, []string{fingerprint("x")}, false)
	if tr.MayRepeat(c.now, "next", []string{fingerprint("x")}) {
		t.Error("the request may be repeated at the next service")
	}
	settle(tr, c)
	c.advance(time.Minute)
	if !requestRefused(tr, c, "next", "x") {
		t.Error("the request is not refused a minute after it has crashed a server of the next service")
	}
}

// repeatSpec describes a simulated fleet that gets one crashing request again and again.
type repeatSpec struct {
	entries, servers int
	// interval is the time between two copies of the crashing request, and runTime how long one runs before
	// its server crashes.
	interval, runTime time.Duration
	soundRate         float64
	// popular is the number of sound requests that come again; half of the sound requests are among them.
	popular      int
	loss         float64
	repeatable   bool
	killInterval time.Duration
	duration     time.Duration
}

const (
	// plainOutage is how long a server is away after a crash.
	plainOutage = 3 * time.Second
	// maxRepeatAttempts is the number of servers that one copy of a request is sent to.
	maxRepeatAttempts = 3
)

// repeatResult is what a simulation counts.
type repeatResult struct {
	crashes, arrivals             []time.Duration
	sound, soundRefused, noServer int
}

// lateArrivals returns the copies that reached servers later than stableWindow after the third crash.
func (r *repeatResult) lateArrivals() int {
	if len(r.crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range r.arrivals {
		if at > r.crashes[2]+stableWindow {
			late++
		}
	}
	return late
}

// plainRequest is a request at a plain server.
type plainRequest struct {
	entry    *simEntry
	ids      []string
	crashing bool
	attempts int
}

// plainServer is a server without a group.
type plainServer struct {
	name        string
	incarnation int64
	upAt        time.Duration
	requests    []*plainRequest
}

// repeatFleet is a fleet of entries before plain servers. Time is simulated.
type repeatFleet struct {
	*simFleet
	spec    repeatSpec
	servers []*plainServer
	result  repeatResult
}

func simulateRepeats(spec repeatSpec, seed uint64) *repeatResult {
	f := &repeatFleet{simFleet: &simFleet{queue: virtualtime.NewQueue(), random: rand.New(rand.NewPCG(seed, 28))}, spec: spec}
	f.simFleet.spec.loss = spec.loss
	for range spec.entries {
		f.entries = append(f.entries, &simEntry{tracker: quarantine.New(f.random.Float64)})
	}
	for n := range spec.servers {
		f.servers = append(f.servers, &plainServer{name: fmt.Sprint("s", n)})
	}
	for _, e := range f.entries {
		f.after(time.Duration(f.random.Float64()*float64(f.gossipInterval())), func() { f.gossip(e) })
	}
	f.every(spec.soundRate, func() {
		name := fmt.Sprint("popular-", f.random.IntN(spec.popular))
		if f.random.IntN(2) == 0 {
			name = fmt.Sprint("once-", f.random.Uint64())
		}
		f.result.sound++
		f.send(&plainRequest{entry: f.randomEntry(), ids: []string{fingerprint(name)}})
	})
	f.after(5*time.Second, func() {
		f.every(1/spec.interval.Seconds(), func() {
			f.send(&plainRequest{entry: f.randomEntry(), ids: []string{fingerprint("crashing")}, crashing: true})
		})
	})
	if spec.killInterval > 0 {
		f.every(1/spec.killInterval.Seconds(), func() { f.end(f.servers[f.random.IntN(len(f.servers))]) })
	}
	f.queue.RunUntil(spec.duration)
	return &f.result
}

func (f *repeatFleet) randomEntry() *simEntry { return f.entries[f.random.IntN(len(f.entries))] }

// send sends a request to a server that is up.
func (f *repeatFleet) send(r *plainRequest) {
	var up []*plainServer
	for _, s := range f.servers {
		if s.upAt <= f.now() {
			up = append(up, s)
		}
	}
	_, refused := r.entry.tracker.Acquire(f.clock(), "desk", r.ids)
	f.advance(r.entry)
	switch {
	case refused && !r.crashing:
		f.result.soundRefused++
	case refused:
	case len(up) == 0:
		f.result.noServer++
	default:
		f.run(up[f.random.IntN(len(up))], r)
	}
}

// run lets a server run a request: it answers a sound one after 20 to 90 ms, and crashes on the other.
func (f *repeatFleet) run(s *plainServer, r *plainRequest) {
	r.attempts++
	s.requests = append(s.requests, r)
	runTime := time.Duration(20+70*f.random.Float64()) * time.Millisecond
	if r.crashing {
		f.result.arrivals = append(f.result.arrivals, f.now())
		runTime = f.spec.runTime
	}
	incarnation := s.incarnation
	f.after(runTime, func() {
		switch {
		case s.incarnation != incarnation:
		case r.crashing:
			f.result.crashes = append(f.result.crashes, f.now())
			f.end(s)
		default:
			s.requests = slices.DeleteFunc(s.requests, func(other *plainRequest) bool { return other == r })
			r.entry.tracker.RecordAnswered(f.clock(), "desk", r.ids)
		}
	})
}

// end ends a server with its requests. Those that may be repeated are sent to another one.
func (f *repeatFleet) end(s *plainServer) {
	if s.upAt > f.now() {
		return
	}
	crash := quarantine.Crash{Service: "desk", Server: s.name, Incarnation: s.incarnation, At: f.clock()}
	s.incarnation++
	s.upAt = f.now() + plainOutage
	lost := s.requests
	s.requests = nil
	for _, r := range lost {
		r.entry.tracker.RecordCrash(f.clock(), crash, r.ids, false)
		f.advance(r.entry)
		if f.spec.repeatable && r.attempts < maxRepeatAttempts && r.entry.tracker.MayRepeat(f.clock(), "desk", r.ids) {
			f.after(2*time.Millisecond, func() { f.send(r) })
		}
	}
}

// TestRandomFleetsRefuseOnlyTheCrashingRequest guards against a request that ends the servers of a plain
// service without end, and against sound ones that are refused in its place: fleets of 3 to 149 entries before
// 3 to 100 servers get it once in 0.1 s to once a minute, beside popular requests and others that come once;
// messages are lost and servers end for other reasons. From stableWindow after the third crash at most three
// copies may reach servers, and nine tenths of the other requests must not be refused.
func TestRandomFleetsRefuseOnlyTheCrashingRequest(t *testing.T) {
	const maxLate, maxSoundRefused = 3, 0.1
	random := rand.New(rand.NewPCG(28, 1))
	pick := func(values ...float64) float64 { return values[random.IntN(len(values))] }
	seconds := func(values ...float64) time.Duration { return time.Duration(pick(values...) * float64(time.Second)) }
	worst, most := 0.0, 0
	for seed := range uint64(fleetSeeds(t)) {
		spec := repeatSpec{
			entries: int(pick(3, 9, 9, 35)), servers: int(pick(3, 3, 7, 100)), interval: seconds(0.1, 0.3, 1.5, 10, 60), runTime: seconds(0.001, 0.03, 0.1),
			soundRate: pick(5, 30, 100), popular: int(pick(1, 5, 50)), loss: pick(0, 0.01, 0.1), repeatable: pick(0, 1, 1) == 1, killInterval: seconds(0, 5, 20),
		}
		spec.duration = 5*time.Second + max(40*time.Second, 8*spec.interval)
		if seed%40 == 9 {
			spec.entries = 149
		}
		r := simulateRepeats(spec, seed)
		if late := r.lateArrivals(); late > maxLate {
			t.Errorf("seed %d, %+v: %d copies reached servers later than %v after the third crash, want at most %d; %d crashes", seed, spec, late, stableWindow, maxLate, len(r.crashes))
		}
		share := float64(r.soundRefused) / float64(max(r.sound, 1))
		if share > maxSoundRefused {
			t.Errorf("seed %d, %+v: %.3f of %d sound requests were refused, want at most %.2f", seed, spec, share, r.sound, maxSoundRefused)
		}
		worst, most = max(worst, share), max(most, len(r.crashes))
	}
	t.Logf("most crashes in a fleet: %d; largest share of sound requests refused: %.4f", most, worst)
}

// TestRequestsBesideDoNotWeakenEvidenceAgainstPart guards against a part of prompts that is blamed later the
// more requests its servers had: each of them has a fingerprint of its own, which says nothing about parts.
func TestRequestsBesideDoNotWeakenEvidenceAgainstPart(t *testing.T) {
	for _, fingerprints := range []bool{false, true} {
		c := newClock()
		tr := newTracker(c)
		for server := range 2 {
			for n := range 30 {
				ids := []string{firstPart, fmt.Sprint("b", n%3)}
				if n == 0 {
					ids[1] = crashingPart
				}
				if fingerprints {
					ids = append(ids, fingerprint(fmt.Sprint(server, "-", n)))
				}
				crash(tr, c, fmt.Sprint("s", server), ids...)
			}
			c.advance(time.Second)
		}
		settle(tr, c)
		if !refused(tr, c, firstPart, crashingPart) {
			t.Errorf("the part is not refused after two crashes with 30 requests each; fingerprints: %v", fingerprints)
		}
	}
}

// TestFewServersEndAtAnyFleetSize guards against a request that ends more servers the more entries there are: it
// comes every 0.3 s, at 3 to 149 entries before three servers, which may all be away at once.
func TestFewServersEndAtAnyFleetSize(t *testing.T) {
	const maxLate, maxSoundRefused = 3, 0.1
	for _, entries := range []int{3, 149} {
		for _, repeatable := range []bool{true, false} {
			spec := repeatSpec{
				entries: entries, servers: 3, interval: 300 * time.Millisecond, runTime: 100 * time.Millisecond,
				soundRate: 30, popular: 5, loss: 0.01, repeatable: repeatable, duration: 25 * time.Second,
			}
			crashes, late, refused, unserved, sound := 0, 0, 0, 0, 0
			for seed := range uint64(2) {
				r := simulateRepeats(spec, seed)
				crashes, late = max(crashes, len(r.crashes)), max(late, r.lateArrivals())
				refused, unserved, sound = refused+r.soundRefused, unserved+r.noServer, sound+r.sound
			}
			t.Logf("%d entries, repeatable %v: at most %d servers ended and %d copies came late; of %d other requests %d were refused and %d found no server", entries, repeatable, crashes, late, sound, refused, unserved)
			if late > maxLate || float64(refused) > maxSoundRefused*float64(sound) {
				t.Errorf("%d entries, repeatable %v: %d copies reached servers later than %v after the third crash, want at most %d; %d of %d sound requests were refused", entries, repeatable, late, stableWindow, maxLate, refused, sound)
			}
		}
	}
}

// TestBystanderIsServedSoon guards against a popular request that is refused for long because it ran beside another
// one at two crashes before any server had answered it: it must be tried again within two stable windows, and
// its answer must release it at all entries.
func TestBystanderIsServedSoon(t *testing.T) {
	const most = 2 * stableWindow
	for seed := range uint64(50) {
		c := newClock()
		tr := quarantine.New(rand.New(rand.NewPCG(seed, 5)).Float64)
		endServer(tr, c, "a", "popular")
		c.advance(100 * time.Millisecond)
		endServer(tr, c, "b", "popular")
		crashed := c.now
		for requestRefused(tr, c, "desk", "popular") && c.now.Sub(crashed) <= most {
			c.advance(50 * time.Millisecond)
			tr.Advance(c.now)
		}
		if c.now.Sub(crashed) > most {
			t.Fatalf("seed %d: the request is not tried again within %v", seed, most)
		}
		tr.Acquire(c.now, "desk", []string{fingerprint("popular")})
		tr.RecordAnswered(c.now, "desk", []string{fingerprint("popular")})
		if requestRefused(tr, c, "desk", "popular") {
			t.Fatalf("seed %d: the request is refused after its answer", seed)
		}
	}
}
