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

// watch looks at the configuration in force at entries, over and over.
type watch struct {
	stop     context.CancelFunc
	done     sync.WaitGroup
	mu       sync.Mutex
	readings []confighistory.Observation
}

// watch URL...: looks at the status of the entries in the background. Only
// entries that are ready count.
func cmdWatch(ts *testscript.TestScript, _ bool, urls []string) {
	ctx, stop := context.WithCancel(context.Background())
	w := &watch{stop: stop}
	siteOf(ts).watch = w
	start := time.Now()
	for _, url := range urls {
		// Two looks at a time show an order that one after the other does not.
		for range 2 {
			w.done.Go(func() {
				for ctx.Err() == nil {
					w.look(url, start)
					time.Sleep(awaitPause / 4)
				}
			})
		}
	}
}

func (w *watch) look(url string, start time.Time) {
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
	w.readings = append(w.readings, r)
}

// watched OFFSET: ends the watch and checks its history: no entry went back,
// over all its lives, entries at one offset have the same, and the offset was
// seen.
func cmdWatched(ts *testscript.TestScript, _ bool, args []string) {
	w := siteOf(ts).watch
	w.stop()
	w.done.Wait()
	seen := false
	for _, r := range w.readings {
		offset, _ := json.Marshal(r.Offset)
		seen = seen || string(offset) == args[0]
	}
	if !seen || !confighistory.OffsetsNeverFall(w.readings) || !confighistory.DigestsAgree(w.readings) {
		ts.Fatalf("seen %t in %d readings: %+v", seen, len(w.readings), w.readings)
	}
	ts.Logf("%d readings", len(w.readings))
}
