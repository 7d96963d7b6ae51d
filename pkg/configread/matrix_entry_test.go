package configread

import (
	"fmt"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configsnapshot"
	"github.com/fescuehub/fescuehub/pkg/faultmatrix"
)

// entryNode is one incarnation of an entry: a reader and a snapshot schedule.
type entryNode struct {
	w              *world
	name           string
	incarnation    int
	reader         *Reader
	schedule       *configsnapshot.Schedule
	seq            int
	awaitingReply  bool
	requestedAt    time.Time
	stopTimersAt   time.Time
	highestInForce int64
	announced      int64
	// highestReported is the highest offset in force that a peer or the agent has
	// reported, -1 if none has answered.
	highestReported int64
	// peerAnswered is true once another entry has answered with a record in force.
	peerAnswered bool
	wasReady     bool
	ready        bool
}

func newEntryNode(w *world, name string) *entryNode {
	w.incarnations++
	n := &entryNode{w: w, name: name, incarnation: w.incarnations, schedule: configsnapshot.NewSchedule(retention), highestInForce: -1, announced: -1, highestReported: -1}
	w.entries[name] = n
	return n
}

// Handle implements faultmatrix.Node.
func (n *entryNode) Handle(ctx *faultmatrix.Context, from string, m faultmatrix.Message) {
	if n.reader == nil {
		n.start(ctx)
	}
	switch m := m.(type) {
	case readResponse:
		n.handleReadResponse(ctx, m)
	case logWatchdog:
		if n.awaitingReply && ctx.Now.Sub(n.requestedAt) >= watchdogTime {
			n.reader.HandleLogError(fmt.Errorf("no reply"))
			n.readLog(ctx)
		}
		n.reschedule(ctx, watchdogTime, logWatchdog{})
	case retry:
		if m.seq == n.seq {
			n.request(ctx, n.reader.Next())
		}
	case headRequest:
		ctx.Send(from, headReport{n.reader.Head()})
	case headReport:
		n.highestReported = max(n.highestReported, m.Head.Offset)
		n.peerAnswered = n.peerAnswered || m.Head.Offset >= 0
		n.reader.NotePeerHead(ctx.Now, from, m.Head)
		if m.Head.Offset > n.reader.State().Offset {
			ctx.After(FetchDelay, fetchDue{})
		}
	case fetchDue:
		n.fetch(ctx)
	case fetchRequest:
		response, err := n.reader.ServeFetch(m.request)
		ctx.Send(from, fetchResponse{m.request, response, err})
	case fetchResponse:
		if m.err != nil {
			n.reader.HandleFetchError(from, m.err)
		} else {
			n.reader.ApplyFetchResponse(ctx.Now, from, m.request, m.response)
		}
	case offsetResponse:
		n.highestReported = max(n.highestReported, m.offset)
		n.reader.NoteAgentOffset(ctx.Now, m.offset)
	case answerTimeout:
		n.reader.MarkPeersQueried()
	case peerAnnouncementDue:
		n.announce(ctx)
		n.reschedule(ctx, announceInterval, peerAnnouncementDue{})
	case checkDue:
		n.send(ctx, readQuery{check: true, request: Request{Snapshots: true}})
		n.reschedule(ctx, snapshotCheckInterval, checkDue{})
	}
	n.observe(ctx)
}

func (n *entryNode) start(ctx *faultmatrix.Context) {
	n.reader = New()
	n.reader.disabled = n.w.disabled
	n.stopTimersAt = later(ctx.Now.Add(incarnationTime), faultmatrixStart.Add(activeTime))
	for _, p := range entryNames {
		if p != n.name {
			ctx.Send(p, headRequest{})
		}
	}
	ctx.Send("agent", offsetReport{-1})
	ctx.After(peerQueryTime, answerTimeout{})
	ctx.After(announceInterval, peerAnnouncementDue{})
	ctx.After(snapshotCheckInterval, checkDue{})
	ctx.After(watchdogTime, logWatchdog{})
	n.readLog(ctx)
}

func (n *entryNode) reschedule(ctx *faultmatrix.Context, d time.Duration, m faultmatrix.Message) {
	if ctx.Now.Before(n.stopTimersAt) {
		ctx.After(d, m)
	}
}

// readLog sends the reader's next request to the log, after a pause if the
// reader asks for one. Pauses are longer than in the daemon, which only reduces
// the number of steps in the matrix.
func (n *entryNode) readLog(ctx *faultmatrix.Context) {
	request := n.reader.Next()
	n.seq++
	n.awaitingReply = false
	switch {
	case request.Idle:
		ctx.After(peerQueryTime, retry{n.seq})
	case request.Pause > 0 && (ctx.Now.Before(n.stopTimersAt) || !n.ready):
		ctx.After(readPause, retry{n.seq})
	case request.Pause == 0:
		n.request(ctx, request)
	}
}

func (n *entryNode) request(ctx *faultmatrix.Context, request Request) {
	if request.Idle {
		n.readLog(ctx)
		return
	}
	n.awaitingReply = true
	n.requestedAt = ctx.Now
	n.send(ctx, readQuery{seq: n.seq, request: request})
}

func (n *entryNode) send(ctx *faultmatrix.Context, query readQuery) {
	ctx.Send("log", readRequest{query})
}

func (n *entryNode) handleReadResponse(ctx *faultmatrix.Context, m readResponse) {
	switch {
	case m.query.check:
		n.handleCheck(ctx, m)
		return
	case m.query.seq != n.seq:
		return
	case m.err != nil:
		n.reader.HandleLogError(m.err)
	case m.query.request.Snapshots:
		var a configsnapshot.Assembler
		var states []configfold.State
		for _, r := range m.page.Records {
			if s, ok, _ := a.Add(r.Data); ok {
				states = append(states, s)
			}
		}
		n.reader.ApplySnapshots(states)
	default:
		n.reader.ApplyPage(m.query.request, m.page)
	}
	n.readLog(ctx)
}

// handleCheck updates the schedule and writes a snapshot if one is due.
func (n *entryNode) handleCheck(ctx *faultmatrix.Context, m readResponse) {
	if m.err != nil || n.reader.condition != Following {
		return
	}
	for _, r := range m.page.Records {
		if offset, ok := configsnapshot.LastPart(r.Data); ok {
			n.schedule.NoteSnapshot(ctx.Now, offset, time.UnixMilli(r.TimeMS))
		}
	}
	state := n.reader.State()
	if !n.schedule.Due(ctx.Now, state.Offset, configsnapshot.WriterOrder(n.name, entryNames, n.schedule.Newest())) {
		return
	}
	records, err := configsnapshot.Split(state, fmt.Sprint(n.name, ctx.Now.UnixNano()))
	if err != nil {
		n.w.violate("snapshot: %v", err)
	}
	for _, r := range records {
		ctx.Send("log", appendRequest{snapshot: true, data: r})
	}
}

func (n *entryNode) announce(ctx *faultmatrix.Context) {
	for _, p := range entryNames {
		if p != n.name {
			ctx.Send(p, headReport{n.reader.Head()})
		}
	}
}

func (n *entryNode) fetch(ctx *faultmatrix.Context) {
	if peer, f, ok := n.reader.NextFetch(ctx.Now); ok {
		ctx.Send(peer, fetchRequest{f})
	}
}

// observe checks the state in force after each message, and announces a new
// offset to the other entries and the agent.
func (n *entryNode) observe(ctx *faultmatrix.Context) {
	s := n.reader.State()
	if s.Offset < n.highestInForce {
		n.w.violate("%s: the offset decreased from %d to %d", n.name, n.highestInForce, s.Offset)
	}
	n.w.observe(n, ctx.Now, s)
	n.checkAgreement(s)
	n.highestInForce = max(n.highestInForce, s.Offset)
	n.ready = n.reader.Ready(ctx.Now) == nil
	if n.ready && !n.wasReady {
		n.wasReady = true
		if s.Offset < n.highestReported {
			n.w.violate("%s serves offset %d although a peer or the agent reported %d", n.name, s.Offset, n.highestReported)
		}
	}
	if s.Offset > n.announced {
		n.announced = s.Offset
		n.announce(ctx)
		ctx.Send("agent", offsetReport{s.Offset})
	}
}

// checkAgreement checks that the entry has folded the same records as the other
// entries. An entry that no other entry answered is exempt: after a reset it
// cannot know the earlier records.
func (n *entryNode) checkAgreement(s configfold.State) {
	if s.Offset < 0 || !n.peerAnswered {
		return
	}
	if n.w.reset && n.w.inForceBeforeReset && s.Offset > n.w.state.Offset {
		n.w.violate("%s continued with records of the reset log, to offset %d", n.name, s.Offset)
	}
	for offset, want := range n.w.inForce {
		_, digest, ok := n.reader.history.after(offset)
		if ok && digest != want || offset == s.Offset && s.Digest != want {
			n.w.violate("%s has different records in force up to offset %d", n.name, offset)
		}
	}
	if _, ok := n.w.inForce[s.Offset]; !ok {
		n.w.inForce[s.Offset] = s.Digest
	}
}
