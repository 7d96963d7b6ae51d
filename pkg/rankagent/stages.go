package rankagent

import (
	"context"
	"time"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/mapswitch"
	"github.com/fescuehub/fescuehub/pkg/panics"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

const (
	// initialOverhead is the assumed time of each part of a stage before it has been measured: reading
	// the counts, planning, and switching.
	initialOverhead = 50 * time.Millisecond
	// maxOverhead bounds each observation of such a part, so that one partition or frozen process does not
	// make the next changes unstaged. A switch takes up to three passes, of at most 150 ms if they are on time.
	maxOverhead = 500 * time.Millisecond
	// minStageTime is the least time limit of a stage. It allows for orders that are sent again.
	minStageTime = time.Second
	// unableTime is how long a rank that did not finish its copies gets no new experts.
	unableTime = 5 * time.Second
	// minStageGain is the least gain of a change whose earlier stages are in use. The first stages would
	// otherwise leave a remainder of the change below MinPlanGain.
	minStageGain = 0.05
)

// stages is the progress of a change of the map that is made in stages.
type stages struct {
	overhead
	// number is the number of the present stage, from 1; 0 if no change is in progress.
	number int
	// more is true while more stages of the change are to be planned.
	more bool
	// inSwitch is true from a switch until all ranks report that they use the new map. switchBegan is
	// when the switch began.
	inSwitch    bool
	switchBegan time.Time
	// counted is true if the counts have been read since the last switch.
	counted bool
	// noticedAt is when the need for the change was noticed; zero if no change is due.
	noticedAt time.Time
	// plannedAt is when the present stage was planned.
	plannedAt time.Time
	// copying is the expected time of the copies of the present stage, and preparedAt when they are
	// expected to be done; 0 and zero if unknown.
	copying    time.Duration
	preparedAt time.Time
	// limit is the time limit of the present stage; 0 means nextMapTimeout.
	limit time.Duration
	// unableUntil is until when a rank gets no new experts, by rank.
	unableUntil map[int]time.Time
}

// overhead measures the parts of a stage's time that do not depend on its copies. ordering is the time of
// the orders to prepare and of their answers, switching the time from the end of the copies until all ranks
// use the new map.
type overhead struct{ reading, planning, ordering, switching average }

// fixedTime returns the expected time of a stage apart from its copies.
func (o *overhead) fixedTime() time.Duration {
	return o.reading.current() + o.planning.current() + o.switching.current()
}

// average is a moving average of a duration.
type average struct{ value time.Duration }

func (a *average) current() time.Duration {
	if a.value == 0 {
		return initialOverhead
	}
	return a.value
}

func (a *average) observe(d time.Duration) {
	a.value = a.current() + (min(d, maxOverhead)-a.current())/4
}

// demandShifted records that the demand has shifted.
func (s *stages) demandShifted(now time.Time) { s.noticedAt = now }

// begin records that a stage has been planned.
func (s *stages) begin(now time.Time, plan evenplan.Plan, cost evenplan.StageCost) {
	if s.noticedAt.IsZero() {
		s.noticedAt = now // the demand has drifted without a shift
	}
	s.number++
	s.plannedAt = now
	s.more = plan.Stages > 1
	s.limit, s.copying, s.preparedAt = 0, 0, time.Time{}
	if cost.Copy > 0 {
		s.copying = time.Duration(plan.RankCopies) * cost.Copy
		s.limit = min(minStageTime+2*s.copying, nextMapTimeout)
		s.preparedAt = now.Add(s.copying + s.ordering.current())
	}
}

// due reports whether a change is in progress or the demand has shifted, so that the next stage need not
// wait for MinPlanInterval.
func (s *stages) due() bool { return s.more || !s.noticedAt.IsZero() }

// roundDelay returns the time until the next round while ranks copy. A round that would be in progress when
// the copies are expected to be done would delay the switch; it is left out.
func (s *stages) roundDelay(now time.Time) time.Duration {
	next := now.Add(roundInterval)
	if ends := next.Add(s.reading.current()); ends.After(s.preparedAt) && next.Before(s.preparedAt.Add(roundInterval/2)) {
		next = s.preparedAt.Add(roundInterval / 2)
	}
	return next.Sub(now)
}

// prepared records how long the orders to prepare and the copies took.
func (s *stages) prepared(took time.Duration) {
	if s.copying > 0 {
		s.ordering.observe(min(max(took-s.copying, 0), roundInterval))
	}
}

// switched records that the ranks have been switched to the stage by a switch that began at the given time.
func (s *stages) switched(began time.Time) {
	s.inSwitch, s.switchBegan, s.counted = true, began, false
	if s.more {
		return
	}
	s.number = 0
	if !s.noticedAt.After(s.plannedAt) { // otherwise the demand has shifted since the stage was planned
		s.noticedAt = time.Time{}
	}
}

// inUse records that no switch is pending at any rank.
func (s *stages) inUse(now time.Time) {
	if s.inSwitch {
		s.switching.observe(now.Sub(s.switchBegan))
	}
	s.inSwitch = false
}

// countsDue reports whether the counts are to be read. Their answers take most of the planner's link, so
// that they are read only once while the ranks are about to use a new map.
func (s *stages) countsDue() bool {
	due := !s.inSwitch || !s.counted
	s.counted = true
	return due
}

// end records that the change is complete or has been given up.
func (s *stages) end() { s.number, s.more, s.inSwitch, s.noticedAt = 0, false, false, time.Time{} }

func (s *stages) sinceNoticed(now time.Time) time.Duration {
	if s.noticedAt.IsZero() {
		return 0
	}
	return now.Sub(s.noticedAt)
}

func (s *stages) timeLimit() time.Duration {
	if s.limit == 0 {
		return nextMapTimeout
	}
	return s.limit
}

// minGain returns the least gain for which a map is prepared.
func (s *stages) minGain() float64 {
	if s.more {
		return minStageGain
	}
	return MinPlanGain
}

// setUnable records that a rank did not finish its copies.
func (s *stages) setUnable(rank int, now time.Time) {
	if s.unableUntil == nil {
		s.unableUntil = make(map[int]time.Time)
	}
	s.unableUntil[rank] = now.Add(unableTime)
}

// unable marks the ranks that get no new experts; nil if there is none.
func (s *stages) unable(now time.Time, ranks int) []bool {
	var marks []bool
	for r, until := range s.unableUntil {
		if now.After(until) {
			delete(s.unableUntil, r)
			continue
		}
		if marks == nil {
			marks = make([]bool, ranks)
		}
		marks[r] = true
	}
	return marks
}

// preparation is the orders to prepare a map, which are sent while the rounds of the group continue: an
// agent answers when its engine has copied the experts.
type preparation struct {
	cancel context.CancelFunc
	group  *mapswitch.Group
	// done is closed when all orders have been answered or given up. err and took are set before.
	done chan struct{}
	err  error
	took time.Duration
}

// prepare sends the orders to prepare a map.
func prepare(ctx context.Context, f *mapswitch.Group, version int64, m rankcontrol.Map, base int64, present rankcontrol.Map) *preparation {
	ctx, cancel := context.WithCancel(ctx)
	p := &preparation{cancel: cancel, group: f, done: make(chan struct{})}
	began := time.Now()
	go func() {
		defer close(p.done)
		defer cancel()
		if panicked := panics.Catch(func() { p.err = f.Prepare(ctx, version, m, base, present) }); panicked != nil {
			p.err = panicked
		}
		p.took = time.Since(began)
	}()
	return p
}

// ended reports whether all orders have been answered or given up.
func (p *preparation) ended() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// abandon waits until no order is being sent any more, so that none follows the orders of a later map.
func (p *preparation) abandon() {
	if p != nil {
		p.cancel()
		<-p.done
	}
}
