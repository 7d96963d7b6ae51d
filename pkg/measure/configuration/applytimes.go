package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	statusPollInterval = 2 * time.Millisecond
	statusTimeout      = 3 * time.Second
	// applyTimeout is the users' limit for an edit to be in force at every entry.
	applyTimeout = 6 * time.Second
)

// ApplyTimes is the time from the start of an apply until the edit is in force at all entries.
type ApplyTimes struct {
	Entries      int     `json:"entries"`
	Applies      int     `json:"applies"`
	MedianMillis float64 `json:"medianMillis"`
	MaxMillis    float64 `json:"maxMillis"`
}

// MeasureApplyTimes applies edits of a pool to a running deployment and waits until each is in
// force at every entry; operators are the addresses of the entries' operator listeners. It replaces
// the tables of the deployment. The error has the kind Unavailable if an edit is not in force at an
// entry within applyTimeout.
func MeasureApplyTimes(ctx context.Context, logURL string, operators []string, applies int) (ApplyTimes, error) {
	client := configclient.New(logURL)
	var times []time.Duration
	for i := range applies {
		document := fmt.Sprintf(`{"routes":[],"pools":[{"name":"engines","kind":"model","concurrency":%d}]}`, 1+i)
		start := time.Now()
		result, err := client.Apply(ctx, []byte(document))
		if err != nil {
			return ApplyTimes{}, err
		}
		if err := awaitAllEntries(ctx, operators, result.Offset); err != nil {
			return ApplyTimes{}, err
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	return ApplyTimes{Entries: len(operators), Applies: applies, MedianMillis: millis(times[len(times)/2]), MaxMillis: millis(times[len(times)-1])}, nil
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func awaitAllEntries(ctx context.Context, operators []string, offset int64) error {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, o := range operators {
		group.Go(func() {
			for ctx.Err() == nil && offsetAt(ctx, o) < offset {
				time.Sleep(statusPollInterval)
			}
		})
	}
	group.Wait()
	if ctx.Err() != nil {
		return problem.New(problem.Unavailable, "check the entries with fescuehub status", "offset %d is not in force at every entry after %v", offset, applyTimeout)
	}
	return nil
}

// offsetAt returns the offset in force at an entry, -1 if the entry does not answer.
func offsetAt(ctx context.Context, operator string) int64 {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+operator+"/v1/status", nil)
	if err != nil {
		return -1
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return -1
	}
	defer res.Body.Close()
	status := struct {
		ConfigOffset int64 `json:"configOffset"`
	}{-1}
	_ = json.NewDecoder(res.Body).Decode(&status)
	return status.ConfigOffset
}
