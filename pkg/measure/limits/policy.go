// Package limits measures flow control in virtual time: the decision package
// that entries drive, against first come, first served with the same capacity.
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
	service      time.Duration
	ticket       *flowcontrol.Ticket
	// ran is true once the job has had a slot.
	ran bool
	// left is true once the job has been refused or given up.
	left bool
	// ended, if set, is told the end of the job.
	ended func(v verdict, served bool)
}

func (j *job) end(v verdict, served bool) {
	if j.ended != nil {
		j.ended(v, served)
	}
}

// verdict is the decision on a job.
type verdict struct {
	job     *job
	refused bool
	// retryAfter is set on refusals.
	retryAfter time.Duration
}

// policy decides which jobs run.
type policy interface {
	arrive(now time.Time, j *job, random uint64) []verdict
	done(now time.Time, j *job, served bool, random uint64) []verdict
	tick(now time.Time, random uint64) []verdict
}

// fair drives the package that entries use.
type fair struct {
	control *flowcontrol.Controller
	jobs    map[*flowcontrol.Ticket]*job
}

func newFair(l flowcontrol.Limits, slots int) *fair {
	f := &fair{control: flowcontrol.New(l), jobs: make(map[*flowcontrol.Ticket]*job)}
	f.control.SetCapacity(time.Time{}, slots, slots, 0)
	return f
}

func (f *fair) arrive(now time.Time, j *job, random uint64) []verdict {
	r := flowcontrol.Request{Organisation: j.organisation, Share: 1, Class: j.class, Deadline: j.deadline}
	ticket, actions := f.control.Arrive(now, r, random)
	j.ticket = ticket
	f.jobs[ticket] = j
	return f.verdicts(actions)
}

func (f *fair) done(now time.Time, j *job, served bool, random uint64) []verdict {
	if !served {
		return f.verdicts(f.control.Cancel(now, j.ticket, random))
	}
	return f.verdicts(f.control.Done(now, j.ticket, flowcontrol.Served, random))
}

func (f *fair) tick(now time.Time, random uint64) []verdict {
	return f.verdicts(f.control.Reassess(now, random))
}

func (f *fair) verdicts(actions []flowcontrol.Action) []verdict {
	var out []verdict
	for _, a := range actions {
		v := verdict{job: f.jobs[a.Ticket], refused: a.Refusal != nil}
		if v.refused {
			v.retryAfter = a.Refusal.RetryAfter
		}
		delete(f.jobs, a.Ticket)
		out = append(out, v)
	}
	return out
}

// firstCome serves in the order of arrival. A full queue refuses; a limit of 0
// has no bound.
type firstCome struct {
	slots, limit int
	running      int
	queue        []*job
	retryAfter   time.Duration
}

func (f *firstCome) arrive(_ time.Time, j *job, _ uint64) []verdict {
	if f.limit > 0 && len(f.queue) >= f.limit {
		return []verdict{{job: j, refused: true, retryAfter: f.retryAfter}}
	}
	f.queue = append(f.queue, j)
	return f.admit()
}

func (f *firstCome) done(_ time.Time, j *job, served bool, _ uint64) []verdict {
	if served || !f.withdraw(j) {
		f.running--
	}
	return f.admit()
}

// withdraw takes a job out of the queue, if it is there.
func (f *firstCome) withdraw(j *job) bool {
	for i, q := range f.queue {
		if q == j {
			f.queue = append(f.queue[:i], f.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (f *firstCome) tick(time.Time, uint64) []verdict { return nil }

func (f *firstCome) admit() []verdict {
	var out []verdict
	for f.running < f.slots && len(f.queue) > 0 {
		out = append(out, verdict{job: f.queue[0]})
		f.queue = f.queue[1:]
		f.running++
	}
	return out
}
