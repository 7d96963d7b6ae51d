package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/writehistory"
)

// stormMaxAttempts bounds the requests of one caller with one key.
const stormMaxAttempts = 12

// storm is a set of callers that retry writes in the background while processes fail.
type storm struct {
	entries  []string
	start    time.Time
	callers  sync.WaitGroup
	mu       sync.Mutex
	requests []writehistory.Request
	keys     []string
}

// storm ROUTE WRITES SEED: starts WRITES writes in the background. Two callers send each write
// concurrently with the same key, starting at random entries, and retry until the outcome is ran
// or not-run. Every third key is a permit.
func cmdStorm(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[1])
	ts.Check(err)
	seed, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	s := &storm{start: time.Now()}
	for i := 1; ts.Getenv("ENTRY"+strconv.Itoa(i)) != ""; i++ {
		s.entries = append(s.entries, ts.Getenv("ENTRY"+strconv.Itoa(i)))
	}
	siteOf(ts).storm = s
	s.callers.Add(2 * n)
	go func() {
		for i := range n {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			key := s.newKey(args[0], i)
			for range 2 {
				first := random.IntN(len(s.entries))
				go s.retryWrite(args[0], key, first)
			}
			time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
		}
	}()
}

func (s *storm) newKey(route string, i int) string {
	key := newKeyAt(time.Now())
	if i%3 == 0 {
		_, body, _, err := request(http.MethodGet, s.entries[i%len(s.entries)]+"/v1/addresses?permitsFor="+route, nil, "")
		var answer entry.AddressAnswer
		if err == nil && json.Unmarshal([]byte(body), &answer) == nil && len(answer.Permits) > 0 {
			key = answer.Permits[0]
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append(s.keys, key)
	return key
}

// retryWrite is one caller of a key. It records every request and its outcome.
func (s *storm) retryWrite(route, key string, first int) {
	defer s.callers.Done()
	header := http.Header{"Idempotency-Key": {key}}
	for attempt := range stormMaxAttempts {
		r := writehistory.Request{Call: key, Start: int64(time.Since(s.start)), Outcome: problem.NotKnown}
		target := s.entries[(first+attempt)%len(s.entries)] + "/services/" + route + "/holds"
		outcome, err := outcomeOf(target, header)
		r.End = int64(time.Since(s.start))
		if err == nil && outcome != "" {
			r.Outcome = problem.Outcome(outcome)
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		if r.Outcome != problem.NotKnown {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func outcomeOf(url string, header http.Header) (string, error) {
	_, _, outcome, err := request(http.MethodPost, url, header.Clone(), `{"sku":7}`)
	var name string
	_, _ = fmt.Sscan(outcome, &name)
	return name, err
}

// calm SERVED: waits for the storm to end and checks that its history and the executions at the
// services are linearizable. At least SERVED of 100 callers must have received ran or not-run.
func cmdCalm(ts *testscript.TestScript, _ bool, args []string) {
	s := siteOf(ts).storm
	s.callers.Wait()
	executions := make(map[string]int)
	for _, key := range s.keys {
		executions[key] = executionsOf(ts, key)
	}
	if !writehistory.Linearizable(s.requests, executions) {
		ts.Fatalf("the history is not linearizable: %+v %v", s.requests, executions)
	}
	counts := make(map[problem.Outcome]int)
	for _, r := range s.requests {
		counts[r.Outcome]++
	}
	ts.Logf("%d keys, %d requests: ran %d, not-run %d, not-known %d", len(s.keys), len(s.requests), counts[problem.Ran], counts[problem.NotRun], counts[problem.NotKnown])
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	if decided := counts[problem.Ran] + counts[problem.NotRun]; decided*100 < want*2*len(s.keys) {
		ts.Fatalf("only %d of %d callers received ran or not-run", decided, 2*len(s.keys))
	}
}
