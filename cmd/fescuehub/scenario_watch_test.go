package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/confighistory"
	"github.com/fescuehub/fescuehub/pkg/entry"
)

// watch polls the configuration in force at entries.
type watch struct {
	cancel       context.CancelFunc
	pollers      sync.WaitGroup
	mu           sync.Mutex
	observations []confighistory.Observation
}

// watch URL...: polls the status of the entries in the background. Only the responses of ready
// entries are recorded.
func cmdWatch(ts *testscript.TestScript, _ bool, urls []string) {
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{cancel: stop}
	siteOf(ts).watch = w
	start := time.Now()
	for _, url := range urls {
		// Overlapping requests to one entry detect order violations that sequential ones cannot.
		for range 2 {
			w.pollers.Go(func() {
				for ctx.Err() == nil {
					w.observe(url, start)
					time.Sleep(pollInterval / 4)
				}
			})
		}
	}
}

func (w *watch) observe(url string, start time.Time) {
	r := confighistory.Observation{Entry: url, Start: int64(time.Since(start))}
	status, body, _, err := request(http.MethodGet, url+"/v1/status", nil, "")
	r.End = int64(time.Since(start))
	var s entry.Status
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(body), &s) != nil || !s.Ready {
		return
	}
	r.Offset = s.Configuration.Offset
	r.Digest = string(s.Configuration.Digest)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observations = append(w.observations, r)
}

// watched OFFSET: stops the watch and checks its history: the offset of an entry never decreased,
// also over its restarts, entries at the same offset had the same configuration, and OFFSET was
// observed.
func cmdWatched(ts *testscript.TestScript, _ bool, args []string) {
	w := siteOf(ts).watch
	w.cancel()
	w.pollers.Wait()
	offsetObserved := false
	for _, r := range w.observations {
		offset, _ := json.Marshal(r.Offset)
		offsetObserved = offsetObserved || string(offset) == args[0]
	}
	if !offsetObserved || !confighistory.OffsetsNeverFall(w.observations) || !confighistory.DigestsAgree(w.observations) {
		ts.Fatalf("expected offset observed: %t; offsets must not fall, and digests at one offset must agree, in %d observations: %+v", offsetObserved, len(w.observations), w.observations)
	}
	ts.Logf("%d observations", len(w.observations))
}
