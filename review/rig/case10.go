//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is within the site's maxBodyBytes of 4,194,304, with the disruption and without.
	bodyBytes = 2_700_000
	// streamInterval and lookupInterval are those of one of the site's nine entries: 56 streams and 3 lookups a second
	// come to all of them. burstFactor and burstTime are the site's burst.
	streamInterval = time.Second * 9 / 56
	lookupInterval = time.Second * 9 / 3
	burstFactor    = 1.7
	burstTime      = 3 * time.Second
	burstAt        = 15 * time.Second
	end10          = 22 * time.Second
	// failingAt is when the one lookup is sent that fails at its replicas.
	failingAt = burstAt + 2300*time.Millisecond
)

// case10: a lookup fails at its replicas during a burst of requests with long bodies.
func (w *world) case10() (broken bool, err error) {
	w.putConfiguration(7)
	for n := range 4 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", n+1), "model", "-events", "28", "-gap", "60ms"); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if _, err := w.startServer(fmt.Sprintf("d-%d", n+1), "desk", "-plain"); err != nil {
			return false, err
		}
	}
	e, err := w.startEntry()
	if err != nil {
		return false, err
	}
	body := strings.Repeat("x", bodyBytes)
	began := time.Now()
	inBurst := func() bool {
		since := time.Since(began)
		return w.trouble && since >= burstAt && since < burstAt+burstTime
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	streams, wholeStreams, lookups, wholeLookups := 0, 0, 0, 0
	// repeat sends requests at an interval, and more often in the burst.
	repeat := func(interval time.Duration, send func(n int)) {
		for n := 0; time.Since(began) < end10; n++ {
			all.Go(func() { send(n) })
			if inBurst() {
				time.Sleep(time.Duration(float64(interval) / burstFactor))
			} else {
				time.Sleep(interval)
			}
		}
	}
	all.Go(func() {
		repeat(streamInterval, func(n int) {
			s := readStream(e.front, request{id: fmt.Sprintf("stream-%03d", n), path: "/lohu930/2f", body: body})
			w.say("client: %s with %d bytes, sent in the burst: %v, got %q, %d events, complete: %v (%v)", s.id, len(body), w.trouble && s.sent.Sub(began) >= burstAt && s.sent.Sub(began) < burstAt+burstTime, s.status, s.events, s.complete, s.err)
			mu.Lock()
			defer mu.Unlock()
			streams++
			if s.complete && s.events == 28 {
				wholeStreams++
			}
		})
	})
	lookUp := func(id string, fails bool) {
		v := w.lookUp(e.front, id, fails)
		mu.Lock()
		defer mu.Unlock()
		lookups++
		switch v {
		case whole:
			wholeLookups++
		case wrong:
			broken = true
		}
	}
	all.Go(func() {
		repeat(lookupInterval, func(n int) { lookUp(fmt.Sprintf("lookup-%02d", n), false) })
	})
	all.Go(func() {
		time.Sleep(failingAt)
		lookUp("lookup-failing", true)
	})
	all.Wait()
	w.say("%d of %d streams came whole, %d of %d lookups were answered as by the replica", wholeStreams, streams, wholeLookups, lookups)
	if wholeStreams*2 < streams || !w.runs(e) {
		return false, fmt.Errorf("too few streams were whole, or the entry has ended")
	}
	return broken, nil
}
