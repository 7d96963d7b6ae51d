//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	uploads10   = 12
	uploadBytes = 3_600_000
	lookups10   = 70
	// failEvery is the share of the lookups that fail at the replicas: the site's 14 in 100.
	failEvery = 7
)

// case10: lookups fail at their replicas while some long requests are in flight.
func (w *world) case10() (broken bool, err error) {
	w.putConfiguration(7)
	for n := range 2 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", n+1), "model", "-events", "60", "-gap", "60ms"); err != nil {
			return false, err
		}
		if _, err := w.startServer(fmt.Sprintf("d-%d", n+1), "desk", "-plain"); err != nil {
			return false, err
		}
	}
	e, err := w.startEntry()
	if err != nil {
		return false, err
	}
	body := "draft a rota"
	if w.trouble {
		body = strings.Repeat("x", uploadBytes)
	}
	streams := make([]stream, uploads10)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			streams[n] = readStream(e.front, request{id: fmt.Sprintf("stream-%02d", n), path: "/lohu930/2f", body: body})
		})
	}
	time.Sleep(time.Second)
	for n := range lookups10 {
		if w.lookUp(e.front, fmt.Sprintf("lookup-%02d", n), n%failEvery == 0) == wrong {
			broken = true
		}
	}
	all.Wait()
	whole := 0
	for _, s := range streams {
		w.say("client: %s with %d bytes got %q, %d events, complete: %v (%v)", s.id, len(body), s.status, s.events, s.complete, s.err)
		if s.complete {
			whole++
		}
	}
	if whole == 0 {
		return false, fmt.Errorf("no stream was whole")
	}
	return broken, nil
}
