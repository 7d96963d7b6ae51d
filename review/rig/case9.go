//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	interval9 = 100 * time.Millisecond
	normal    = 5 * time.Second
	// downTime is how long everything is without power, recoverTime the site's recoverS.
	downTime    = 1300 * time.Millisecond
	recoverTime = 12 * time.Second
	measured    = 5 * time.Second
)

// register writes the entries of another writer, one for the address of each replica, at its start.
func (w *world) register(servers []*server) {
	born := time.Now().UnixMilli()
	for _, s := range servers {
		host, port, _ := strings.Cut(s.address, ":")
		data, _ := json.Marshal(map[string]any{"service": "host-audit", "address": s.address, "zone": "a", "version": "3.1", "slots": 0, "state": "ready", "born": born, "sequence": 1})
		w.store.put("keyed.servers", "audit-"+host+"-"+port, data)
	}
	w.say("store: the other writer, started at %d, has written its entries", born)
}

// case9: another writer has its own entries for the replicas' addresses. All machines lose power, and it is the last to
// start again.
func (w *world) case9() (broken bool, err error) {
	w.putConfiguration(7)
	services := []string{"model", "model", "desk", "desk"}
	arguments := map[string][]string{"model": {"-events", "10", "-gap", "40ms"}, "desk": {"-plain"}}
	servers := make([]*server, len(services))
	for n := range servers {
		address, err := w.freeAddress()
		if err != nil {
			return false, err
		}
		servers[n] = &server{address: address}
	}
	w.register(servers) // it starts before the replicas
	start := func(generation int) error {
		for n, service := range services {
			time.Sleep(10 * time.Millisecond)
			s, err := w.startServerAt(servers[n].address, fmt.Sprintf("i-%d-%d", generation, n+1), service, arguments[service]...)
			if err != nil {
				return err
			}
			servers[n] = s
		}
		return nil
	}
	if err := start(1); err != nil {
		return false, err
	}
	e, err := w.startEntry()
	if err != nil {
		return false, err
	}
	t := &traffic{world: w, front: e.front, stop: make(chan struct{})}
	t.all.Go(t.run)
	began := time.Now()
	time.Sleep(normal)
	faultAt := time.Now()
	if w.trouble {
		w.say("all machines lose power")
		_ = e.process.Process.Signal(syscall.SIGKILL)
		for _, s := range servers {
			_ = s.process.Process.Signal(syscall.SIGKILL)
		}
		time.Sleep(downTime)
		former := append([]*server(nil), servers...)
		if err := start(2); err != nil {
			return false, err
		}
		w.register(servers)
		if err := w.startProcess(e); err != nil {
			return false, err
		}
		time.AfterFunc(3600*time.Millisecond, func() { // three heartbeats of silence
			for _, s := range former {
				w.remove(s)
			}
		})
	}
	w.say("the machines are back")
	time.Sleep(recoverTime)
	from := time.Now()
	w.say("recoverS is over, measured from now on")
	time.Sleep(measured)
	close(t.stop)
	t.all.Wait()
	before, sentBefore := t.served(began, faultAt)
	after, sentAfter := t.served(from, time.Now())
	w.say("before the fault %d of %d requests were served, later than recoverS after it %d of %d", before, sentBefore, after, sentAfter)
	if before*4 < sentBefore {
		return false, fmt.Errorf("less than a quarter was served before the fault")
	}
	if !w.runs(e) {
		return false, fmt.Errorf("the entry has ended by itself")
	}
	return after*4 < sentAfter, nil
}

// traffic sends streams and safe requests by turns.
type traffic struct {
	*world
	front string
	stop  chan struct{}
	all   sync.WaitGroup
	mu    sync.Mutex
	done  []outcome
}

type outcome struct {
	sent   time.Time
	served bool
}

func (t *traffic) run() {
	for n := 0; ; n++ {
		select {
		case <-t.stop:
			return
		case <-time.After(interval9):
		}
		t.all.Go(func() {
			o := outcome{sent: time.Now()}
			if n%2 == 0 {
				o.served = t.lookUp(t.front, fmt.Sprintf("lookup-%03d", n), false) == whole
			} else {
				s := readStream(t.front, request{id: fmt.Sprintf("stream-%03d", n), path: "/lohu930/2f", body: "draft a rota"})
				o.served = s.complete && s.events == 10
				t.say("client: %s got %q, %d events, complete: %v (%v)", s.id, s.status, s.events, s.complete, s.err)
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.done = append(t.done, o)
		})
	}
}

// served counts the requests that were sent in a span of time, and those of them that were served.
func (t *traffic) served(from, to time.Time) (served, sent int) {
	for _, o := range t.done {
		if o.sent.Before(from) || !o.sent.Before(to) {
			continue
		}
		sent++
		if o.served {
			served++
		}
	}
	return served, sent
}
