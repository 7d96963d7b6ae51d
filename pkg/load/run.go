package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Run carries out the plan of the options and returns what callers got. It ends
// by itself, at the latest one timeout after the last arrival.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &runner{options: o, client: newClient(), record: newRecorder(), slots: semaphore.NewWeighted(MaxInFlight)}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	var inFlight sync.WaitGroup
	for _, arrival := range Plan(o) {
		planned := start.Add(arrival.At)
		if !waitUntil(ctx, planned) {
			break
		}
		if !r.slots.TryAcquire(1) {
			r.record.notSent()
			continue
		}
		inFlight.Go(func() {
			defer r.slots.Release(1)
			r.send(ctx, arrival, planned)
		})
	}
	inFlight.Wait()
	return r.record.result(o, time.Since(start)), ctx.Err()
}

// runner sends the requests of one run.
type runner struct {
	options Options
	client  *http.Client
	record  *recorder
	slots   *semaphore.Weighted
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: MaxInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

func waitUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
