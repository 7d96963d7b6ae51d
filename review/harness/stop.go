//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(s *site, trouble bool) (broken bool){"planned-stop": playPlannedStop}

const streamConfiguration = `{"version":7,"routes":[
{"name":"ask","host":"shop.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"model","maxAttempts":2,"resumeStreams":true,"gapAimMs":120}],
"services":[{"name":"model","healthPath":"/health","maxConnections":188}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"shop","apiKeys":["key-1"]}]}`

// The streams of the case: 60 events at pauses of 80 ms, within the 69 events and the pause of 120 ms of the
// site, so 4.8 s long.
const (
	streamEvents = 60
	streamPause  = 80 * time.Millisecond
	// sendAfter is the time from the SIGTERM to the requests. The rule excuses an answer that is cut off at
	// the end of the grace period only for requests sent no later than 3 s after the SIGTERM.
	sendAfter = 3500 * time.Millisecond
	// callerDeadline is how long the callers wait.
	callerDeadline = 8 * time.Second
)

// playPlannedStop stops one of three entries by SIGTERM. Callers with an address answer that is still valid
// send it streams 3.5 s later, on kept and on new connections. Each request that the entry passes on must be
// answered completely; one that it refuses is not counted.
func playPlannedStop(s *site, trouble bool) bool {
	server := &streamServer{id: "i-1", events: streamEvents, pause: streamPause, record: s.record, runs: make(map[string]string)}
	l := listen("127.0.0.1:0")
	go func() { _ = http.Serve(l, server) }()
	s.store.Put("keyed.op", "config", []byte(streamConfiguration))
	s.store.Put("keyed.servers", server.id, fmt.Appendf(nil,
		`{"service":"model","address":%q,"zone":"a","version":1,"slots":12,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}`, l.Addr()))
	for n := range 3 {
		s.startEntry(n + 1)
	}
	s.waitReady()
	time.Sleep(2 * time.Second)
	stopped := s.entries[0]

	// Kept connections have carried a request before.
	var kept []*call
	for n := range 3 {
		c := &call{id: fmt.Sprintf("before-%d", n+1)}
		if c.conn, c.err = net.Dial("tcp", stopped.front); c.err != nil {
			fail(c.err)
		}
		kept = append(kept, c)
	}
	var wg sync.WaitGroup
	for _, c := range kept {
		wg.Go(func() { c.send("/ask/1", callerDeadline) })
	}
	wg.Wait()
	for _, c := range kept {
		s.record.log("caller: request %s got status %d, %d events, whole: %v, error: %v", c.id, c.status, c.events, c.whole, c.err)
	}
	addresses, ttl, err := s.entries[1].resolve()
	resolved := time.Now()
	if err != nil || !slices.Contains(addresses, stopped.front) {
		fail(fmt.Errorf("the address answer %v lacks the entry %s: %w", addresses, stopped.front, err))
	}
	s.record.log("caller: the address answer names %d entries for %.1f s; some callers keep it for %.1f s", len(addresses), ttl, 3*ttl)

	s.mustRun(s.entries...)
	terminated := time.Now()
	if trouble {
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		s.record.log("operator: SIGTERM to %s; SIGKILL would follow after %d s", stopped.name, graceSeconds)
	}
	time.Sleep(time.Until(terminated.Add(sendAfter)))
	if age := time.Since(resolved).Seconds(); age > 3*ttl {
		fail(fmt.Errorf("the address answer is %.1f s old, and valid for %.1f s", age, 3*ttl))
	}
	var calls []*call
	for n, k := range kept {
		calls = append(calls, &call{id: fmt.Sprintf("kept-%d", n+1), conn: k.conn})
	}
	for n := range 3 {
		c := &call{id: fmt.Sprintf("new-%d", n+1)}
		if c.conn, c.err = net.DialTimeout("tcp", stopped.front, time.Second); c.err != nil {
			s.record.log("caller: %s cannot connect: %v", c.id, c.err)
			continue
		}
		calls = append(calls, c)
	}
	for _, c := range calls {
		s.record.log("caller: request %s is sent to %s, %.2f s after the moment of the SIGTERM", c.id, stopped.name, time.Since(terminated).Seconds())
		wg.Go(func() { c.send("/ask/2", callerDeadline) })
	}
	wg.Wait()
	s.mustRun(s.entries[1:]...)
	lost := 0
	for _, c := range calls {
		s.record.log("caller: request %s got status %d, %d of %d events, whole: %v, error: %v, %.2f s after the moment of the SIGTERM; at the server it %s",
			c.id, c.status, c.events, streamEvents, c.whole, c.err, c.sentAt.Add(c.took).Sub(terminated).Seconds(), server.state(c.id))
		if server.state(c.id) != "" && !(c.whole && c.status == http.StatusOK && c.events == streamEvents) {
			lost++
		}
	}
	s.record.log("%d of %d requests were passed on and ended without a complete answer", lost, len(calls))
	return lost > 0
}
