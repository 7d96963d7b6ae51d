// Package limits simulates flow control in virtual time. It compares the flow controller that
// entries use with a first-come, first-served queue of the same capacity.
package limits

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/flowcontrol"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// job is one request of the workload.
type job struct {
	organisation string
	class        tables.Class
	small        bool
	arrived      time.Time
	deadline     time.Time
	serviceTime  time.Duration
	ticket       *flowcontrol.Ticket
	// ran is true once the job has had a slot.
	ran bool
	// settled is true once the job has been answered, refused or expired.
	settled bool
	// onEnd, if set, is called when the job is answered or refused.
	onEnd func(v decision, served bool)
}

func (j *job) notifyEnd(v decision, served bool) {
	if j.onEnd != nil {
		j.onEnd(v, served)
	}
}

// decision starts or refuses a job.
type decision struct {
	job     *job
	refused bool
	// retryAfter is set on refusals.
	retryAfter time.Duration
}

// policy decides which jobs run. Each call returns the decisions that follow from it.
type policy interface {
	arrive(now time.Time, j *job, random uint64) []decision
	done(now time.Time, j *job, served bool, random uint64) []decision
	tick(now time.Time, random uint64) []decision
}

// controllerPolicy drives the flow controller that entries use.
type controllerPolicy struct {
	control *flowcontrol.Controller
	jobs    map[*flowcontrol.Ticket]*job
}

func newControllerPolicy(l flowcontrol.Limits, slots int) *controllerPolicy {
	f := &controllerPolicy{control: flowcontrol.New(l), jobs: make(map[*flowcontrol.Ticket]*job)}
	f.control.SetCapacity(time.Time{}, slots, slots, 0)
	return f
}

func (f *controllerPolicy) arrive(now time.Time, j *job, random uint64) []decision {
	r := flowcontrol.Request{Organisation: j.organisation, Share: 1, Class: j.class, Deadline: j.deadline}
	ticket, actions := f.control.Arrive(now, r, random)
	j.ticket = ticket
	f.jobs[ticket] = j
	return f.decisions(actions)
}

func (f *controllerPolicy) done(now time.Time, j *job, served bool, random uint64) []decision {
	if !served {
		return f.decisions(f.control.Cancel(now, j.ticket, random))
	}
	return f.decisions(f.control.Done(now, j.ticket, flowcontrol.Served, random))
}

func (f *controllerPolicy) tick(now time.Time, random uint64) []decision {
	return f.decisions(f.control.Reassess(now, random))
}

func (f *controllerPolicy) decisions(actions []flowcontrol.Action) []decision {
	var out []decision
	for _, a := range actions {
		v := decision{job: f.jobs[a.Ticket], refused: a.Refusal != nil}
		if v.refused {
			v.retryAfter = a.Refusal.RetryAfter
		}
		delete(f.jobs, a.Ticket)
		out = append(out, v)
	}
	return out
}

// fifoPolicy serves jobs in order of arrival and refuses them while its queue is full. A limit of 0
// leaves the queue unbounded.
type fifoPolicy struct {
	slots, limit int
	running      int
	queue        []*job
	retryAfter   time.Duration
}

func (f *fifoPolicy) arrive(_ time.Time, j *job, _ uint64) []decision {
	if f.limit > 0 && len(f.queue) >= f.limit {
		return []decision{{job: j, refused: true, retryAfter: f.retryAfter}}
	}
	f.queue = append(f.queue, j)
	return f.admit()
}

func (f *fifoPolicy) done(_ time.Time, j *job, served bool, _ uint64) []decision {
	if served || !f.removeQueued(j) {
		f.running--
	}
	return f.admit()
}

// removeQueued removes a job from the queue and reports whether it was there.
func (f *fifoPolicy) removeQueued(j *job) bool {
	for i, q := range f.queue {
		if q == j {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (f *fifoPolicy) tick(time.Time, uint64) []decision { return nil }

func (f *fifoPolicy) admit() []decision {
	var out []decision
	for f.running < f.slots && len(f.queue) > 0 {
		out = append(out, decision{job: f.queue[0]})
		f.queue = f.queue[1:]
		f.running++
	}
	return out
}
