package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// Run sends the requests of the plan and returns the result. It returns at the latest one
// o.Timeout after the last arrival. If ctx is cancelled, it stops sending and returns the result
// so far with the error of ctx.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &runner{options: o, client: newClient(), recorder: newRecorder(), inFlight: semaphore.NewWeighted(MaxInFlight)}
	defer r.client.CloseIdleConnections()
	start := time.Now()
	var requests sync.WaitGroup
	for _, arrival := range Plan(o) {
		planned := start.Add(arrival.At)
		if !waitUntil(ctx, planned) {
			break
		}
		if !r.inFlight.TryAcquire(1) {
			r.recorder.addNotSent()
			continue
		}
		requests.Go(func() {
			defer r.inFlight.Release(1)
			r.send(ctx, arrival, planned)
		})
	}
	requests.Wait()
	return r.recorder.result(o, time.Since(start)), ctx.Err()
}

// runner sends the requests of one run.
type runner struct {
	options  Options
	client   *http.Client
	recorder *recorder
	// inFlight limits the concurrent requests to MaxInFlight.
	inFlight *semaphore.Weighted
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: MaxInFlight,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}
}

// waitUntil waits until t and returns true, or false if ctx is done before.
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
