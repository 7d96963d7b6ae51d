// Package engine implements a stand-in for a model engine. It simulates continuous batching with
// priorities, a prefix cache whose events have gaps, lagging load reports, cancellation, resumption,
// orders and the ranks of expert-parallel groups.
package engine

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	peer "github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/faults"
)

// Faults are the faults that can be injected into the engine.
type Faults struct {
	// StallMS is added to every step, in milliseconds.
	StallMS int `json:"stallMS,omitempty"`
	// RefuseNew makes the engine refuse new requests with status 429 and certify that they have not run.
	RefuseNew bool `json:"refuseNew,omitempty"`
	// FailWith is the status with which the engine fails requests that it has run; 0 means success.
	FailWith int `json:"failWith,omitempty"`
	// TruncateStreams is the number of answers to truncate in the middle.
	TruncateStreams int `json:"truncateStreams,omitempty"`
	// LoadLagMS is the age of load reports, in milliseconds.
	LoadLagMS int `json:"loadLagMS,omitempty"`
	// DropCacheEvents drops every second cache event.
	DropCacheEvents bool `json:"dropCacheEvents,omitempty"`
	// RankSpeed is the speed factor of a rank of a group: 0.5 halves its speed. 0 means 1.
	RankSpeed float64 `json:"rankSpeed,omitempty"`
	// RankStallMS is added to every step of a rank, in milliseconds.
	RankStallMS int `json:"rankStallMS,omitempty"`
}

// Options configures the engine.
type Options struct {
	Name string
	// StepTime is the duration of one step. A step generates one token for each running request.
	StepTime time.Duration
	// PrefillPerToken is the time to process one word of the prompt that is not in the cache. It
	// delays the first token of a request.
	PrefillPerToken time.Duration
	// MaxBatch limits the number of running requests.
	MaxBatch int
	// CacheEntries limits the number of prefixes in the cache.
	CacheEntries int
	// CheckFencing makes the engine refuse orders with an old fencing number.
	CheckFencing bool
	// CanResume makes the engine resume streams after a given token.
	CanResume bool
	// Rank makes the engine one rank of a group if Rank.Peers is not empty.
	Rank RankOptions
}

const (
	maxBodyBytes     = 4 << 20
	defaultMaxTokens = 16
	maxTokens        = 4096
	// prefixWords is the number of words of a prompt that form its prefix in the cache.
	prefixWords = 16
)

// Counters holds the counts of events in the engine, for use in tests.
type Counters struct {
	Started   int   `json:"started"`
	Finished  int   `json:"finished"`
	Cancelled int   `json:"cancelled"`
	Tokens    int64 `json:"tokens"`
	CacheHits int   `json:"cacheHits"`
	Orders    int   `json:"orders"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	Faults *faults.Injector[Faults]

	options     Options
	mu          sync.Mutex
	batch       batch
	cache       *prefixCache
	counters    Counters
	loadHistory []timedLoad
	fencing     int64
	rank        *rank
}

type timedLoad struct {
	at     time.Time
	report peer.LoadReport
}

// New returns an engine that generates no tokens until Run is called.
func New(options Options) *Engine {
	e := &Engine{
		Faults:  faults.NewInjector[Faults](),
		options: options,
		cache:   newPrefixCache(options.CacheEntries),
	}
	if len(options.Rank.Peers) > 0 {
		e.rank = newRank(options, e.Faults)
	}
	return e
}

// Run executes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	if e.rank != nil {
		go e.rank.run(ctx)
	}
	timer := time.NewTimer(e.stepTime())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			e.step()
			timer.Reset(e.stepTime())
		}
	}
}

// Handler returns a handler for chat completions, cancellation, load reports, cache events, orders,
// counters, faults and the protocol of a rank.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/cancel/{id}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counters()) })
	mux.Handle(faults.Path, e.Faults)
	if e.rank != nil {
		e.rank.register(mux)
	}
	return mux
}

// Counters returns a copy of the current counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

func (e *Engine) stepTime() time.Duration {
	return e.options.StepTime + time.Duration(e.Faults.Get().StallMS)*time.Millisecond
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch.admit(e.options.MaxBatch)
	produced, finished := e.batch.advance(time.Now())
	e.counters.Tokens += int64(produced)
	e.counters.Finished += finished
	e.recordLoad()
}

func (e *Engine) recordLoad() {
	report := peer.LoadReport{
		Running:   len(e.batch.running),
		Waiting:   len(e.batch.waiting),
		StepMS:    float64(e.stepTime()) / float64(time.Millisecond),
		CanResume: e.options.CanResume,
	}
	const maxKeptReports = 4096
	if len(e.loadHistory) >= maxKeptReports {
		e.loadHistory = append(e.loadHistory[:0], e.loadHistory[maxKeptReports/2:]...)
	}
	e.loadHistory = append(e.loadHistory, timedLoad{time.Now(), report})
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		problem.Write(w, problem.New(problem.TooLarge, "send a smaller body", "%v", err))
		return
	}
	var request peer.ChatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "send a chat completion request", "%v", err))
		return
	}
	if request.ResumeText != "" && !e.canResume(request) {
		problem.Write(w, problem.New(problem.BadRequest, "send the request without "+peer.ResumeField, "the resume text is not a prefix of this engine's answer"))
		return
	}
	if e.Faults.Get().RefuseNew {
		problem.Write(w, problem.New(problem.Overloaded, "try again later", "new requests are refused").WithOutcome(problem.NotRun))
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(peer.PriorityHeader))
	seq := e.start(r.Header.Get(peer.RequestIDHeader), priority, request)
	defer e.end(seq)
	if status := e.Faults.Get().FailWith; status != 0 {
		http.Error(w, "the engine failed", status)
		return
	}
	e.sendAnswer(w, r.Context(), request, seq)
}

// canResume reports whether the engine supports resumption and the resume text is a prefix of the
// answer that it generates.
func (e *Engine) canResume(request peer.ChatRequest) bool {
	return e.options.CanResume && strings.HasPrefix(FullAnswer(request), request.ResumeText)
}

func (e *Engine) start(id string, priority int, request peer.ChatRequest) *sequence {
	prompt := promptOf(request)
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	tokens = min(tokens, maxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	hit := e.cache.access(prefixOf(prompt), e.Faults.Get().DropCacheEvents)
	words := countWords(prompt)
	if hit {
		e.counters.CacheHits++
		words = max(0, words-prefixWords)
	}
	e.counters.Started++
	begin := strings.Count(request.ResumeText, " ")
	seq := &sequence{
		id:           id,
		priority:     priority,
		promptDoneAt: time.Now().Add(time.Duration(words) * e.options.PrefillPerToken),
		begin:        begin,
		next:         begin,
		end:          tokens,
		tokenPrefix:  TokenPrefix(request),
		tokens:       make(chan string, tokens),
	}
	e.batch.waiting = append(e.batch.waiting, seq)
	return seq
}

// end removes a sequence, and counts it as cancelled if it had not finished.
func (e *Engine) end(seq *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.batch.remove(seq) {
		e.counters.Cancelled++
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, seq := range e.batch.all() {
		if seq.id == r.PathValue("id") && e.batch.remove(seq) {
			close(seq.tokens)
			e.counters.Cancelled++
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	cutoff := time.Now().Add(-time.Duration(e.Faults.Get().LoadLagMS) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	report := peer.LoadReport{CanResume: e.options.CanResume}
	for i := len(e.loadHistory) - 1; i >= 0; i-- {
		if !e.loadHistory[i].at.After(cutoff) {
			report = e.loadHistory[i].report
			break
		}
	}
	writeJSON(w, report)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.eventsFrom(from))
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order peer.Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		problem.Write(w, problem.New(problem.BadRequest, "send an order", "%v", err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.CheckFencing && order.Fencing < e.fencing {
		problem.Write(w, problem.New(problem.FencedOff, "stop sending orders", "fencing number %d is older than %d", order.Fencing, e.fencing))
		return
	}
	e.fencing = max(e.fencing, order.Fencing)
	e.counters.Orders++
	writeJSON(w, order)
}

// TokenPrefix returns the prefix of every token in the answer to the request. It is derived from the
// complete prompt, so that a test can detect tokens of another request's answer.
func TokenPrefix(request peer.ChatRequest) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, promptOf(request))
	return strconv.FormatUint(h.Sum64(), 36)
}

// FullAnswer returns the text of the complete answer to the request.
func FullAnswer(request peer.ChatRequest) string {
	tokens := request.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	text := ""
	for i := range min(tokens, maxTokens) {
		text += token(TokenPrefix(request), i)
	}
	return text
}

func token(prefix string, i int) string {
	return prefix + "-" + strconv.Itoa(i) + " "
}

func promptOf(request peer.ChatRequest) string {
	text := ""
	for _, m := range request.Messages {
		text += m.Content + "\n"
	}
	return text
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
