//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["truncated-refusal"] = playTruncatedRefusal }

const deskConfiguration = `{"version":7,"routes":[
{"name":"look","host":"shop.example","pathPrefix":"/look/","kind":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2},
{"name":"book","host":"shop.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1}],
"services":[{"name":"desk","healthPath":"/health","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"shop","apiKeys":["key-1"]}]}`

// Three of the five servers are faulty with the disruption, for spoilFor: they spoil one in spoiledOf of their
// answers. They do not run the request, say so in the head of a response, and truncate the response after the
// head.
const (
	serverCount, faultyCount = 5, 3

	spoiledOf     = 20
	routeTimeout  = 800 * time.Millisecond
	answerSlack   = 500 * time.Millisecond
	callerTimeout = 1500 * time.Millisecond
	sendEvery     = 16 * time.Millisecond
	sendFor       = 9 * time.Second
	spoilAfter    = 2 * time.Second
	spoilFor      = 5 * time.Second
)

// deskServer answers requests on raw connections.
type deskServer struct {
	id     string
	record *record
	// faulty is true while the server spoils answers, which answers counts.
	faulty  atomic.Bool
	answers atomic.Int64
}

func (d *deskServer) run(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(nc)
	}
}

func (d *deskServer) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Fescuehub-Request-Id")
		if expected := req.Header.Get("X-Fescuehub-Expect-Replica"); expected != d.id {
			fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Fescuehub-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if d.faulty.Load() && d.answers.Add(1)%spoiledOf == spoiledOf/2 {
			d.record.log("server %s: the answer to request %s is spoiled: a refusal without its body", d.id, id)
			fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Not-Executed: 1\r\nContent-Length: 5\r\n\r\n", id)
			began := time.Now()
			_, _ = br.ReadByte() // until the sender closes the connection
			d.record.log("server %s: the connection of request %s was closed by its sender after %.2f s", d.id, id, time.Since(began).Seconds())
			return
		}
		d.record.log("server %s: runs request %s", d.id, id)
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Response-Seal: seal-%s\r\nContent-Length: 3\r\n\r\nok\n", id, id)
	}
}

// playTruncatedRefusal sends requests to three entries. Of those that are unanswered at the route's timeout,
// at least half must have an answer half a second later.
func playTruncatedRefusal(s *site, trouble bool) bool {
	s.store.Put("keyed.op", "config", []byte(deskConfiguration))
	var faulty []*deskServer
	for n := range serverCount {
		d := &deskServer{id: fmt.Sprintf("i-%d", n+1), record: s.record}
		if n < faultyCount {
			faulty = append(faulty, d)
		}
		l := listen("127.0.0.1:0")
		go d.run(l)
		s.store.Put("keyed.servers", d.id, fmt.Appendf(nil,
			`{"service":"desk","address":%q,"zone":"a","version":1,"slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}`, l.Addr()))
	}
	for n := range 3 {
		s.startEntry(n + 1)
	}
	s.waitReady()
	time.Sleep(2 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	sent, served, unanswered, late := 0, 0, 0, 0
	setFaulty := func(on bool) {
		for _, d := range faulty {
			d.faulty.Store(on)
			s.record.log("server %s: spoils answers: %v", d.id, on)
		}
	}
	if trouble {
		time.AfterFunc(spoilAfter, func() { setFaulty(true) })
		time.AfterFunc(spoilAfter+spoilFor, func() { setFaulty(false) })
	}
	for end := time.Now().Add(sendFor); time.Now().Before(end); time.Sleep(sendEvery) {
		sent++
		n := sent
		e := s.entries[n%len(s.entries)]
		method, path := http.MethodGet, "/look/1"
		if n%2 == 0 {
			method, path = http.MethodPost, "/book/1"
		}
		id := fmt.Sprintf("r-%d", n)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, nil)
			req.Host = "shop.example"
			req.Header.Set("X-Fescuehub-Request-Id", id)
			req.Header.Set("X-Fescuehub-Key", "key-1")
			req.Header.Set("X-Fescuehub-Request-Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
			began := time.Now()
			res, err := http.DefaultTransport.RoundTrip(req)
			answer := ""
			if err == nil {
				_, err = io.ReadAll(res.Body)
				res.Body.Close()
				answer = res.Status
			}
			took := time.Since(began)
			if err != nil {
				answer = "no answer: " + err.Error()
			}
			s.record.log("caller: %s %s, request %s to %s: %s after %.2f s", method, path, id, e.name, answer, took.Seconds())
			mu.Lock()
			defer mu.Unlock()
			if err == nil && res.StatusCode == http.StatusOK {
				served++
			}
			if took > routeTimeout {
				unanswered++
			}
			if took > routeTimeout+answerSlack {
				late++
			}
		})
	}
	wg.Wait()
	s.record.log("%d requests sent; %d served; %d without an answer at the route's timeout of 0.8 s, %d of these half a second later", sent, served, unanswered, late)
	s.mustRun(s.entries...)
	if served < sent/2 {
		fail(fmt.Errorf("only %d of %d requests were served", served, sent))
	}
	time.Sleep(9 * time.Second) // until the entries close the connections of the truncated responses
	return 2*late > unanswered && late > 0
}
