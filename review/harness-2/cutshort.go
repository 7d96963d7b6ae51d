//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leaving plays the end of a replica that has announced that it drains, while streams run there. Two of its
// answers have no length.
func leaving(s *site) (bool, error) {
	const streams, events, pause = 40, 60, 80 * time.Millisecond // a stream takes 4.7 s
	s.configure(1, `{"name":"ask","host":"shop.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"service":"notes","maxAttempts":2,"resumeStreams":true,"gapAimMs":120}`,
		`{"name":"notes","healthPath":"/health","maxConnections":358}`)
	var leaver *announced
	for n := range 4 {
		args := []string{"-events", fmt.Sprint(events), "-pause", pause.String()}
		if n == 0 {
			args = append(args, "-without-length", "2")
		}
		r, err := s.startReplica(fmt.Sprintf("i-%d", n), "notes", "", args...)
		if err != nil {
			return false, err
		}
		if n == 0 {
			leaver = r
		}
	}
	e, err := s.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := warmUp(s, e, "/ask/x", 240); err != nil {
		return false, err
	}
	answers := make([]answer, streams)
	var all sync.WaitGroup
	for n := range streams {
		all.Go(func() {
			answers[n] = send(e, "POST", "/ask/x", fmt.Sprintf("stream-%02d", n), []byte("body"), 8*time.Second, map[string]string{
				"X-Fescuehub-Model": "m", "X-Fescuehub-Token-Counts": "100,300", "X-Fescuehub-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%08x:60", n),
			})
			s.note("client got %v (%d of %d events)", answers[n], answers[n].events(), events)
		})
		time.Sleep(15 * time.Millisecond)
	}
	s.note("%d streams were sent", streams)
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		s.announce(leaver, "draining")
		time.Sleep(2300 * time.Millisecond) // drainMs and a little longer
		s.note("%s exits", leaver.id)
		_ = leaver.stdin.Close()
		s.remove(leaver)
	}
	all.Wait()
	short := 0
	for _, a := range answers {
		if a.complete() && a.events() != events {
			short++
		}
	}
	s.note("%d streams ended as complete before their last event", short)
	return short > 0, served(answers)
}

// frozen plays the crash and restart of a replica while the entry that passes on its answers stands still. Two of its
// answers have no length.
func frozen(s *site) (bool, error) {
	const requests, pause = 60, 450 * time.Millisecond
	s.configure(1, `{"name":"hold","host":"shop.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"service":"till","maxAttempts":1}`,
		`{"name":"till","healthPath":"/health","maxConnections":110}`)
	var victim *announced
	for n := range 6 {
		args := []string{"-pause", pause.String()}
		if n == 0 {
			args = append(args, "-without-length", "2")
		}
		r, err := s.startReplica(fmt.Sprintf("i-%d", n), "till", "", args...)
		if err != nil {
			return false, err
		}
		if n == 0 {
			victim = r
		}
	}
	e, err := s.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := warmUp(s, e, "/hold/x", 360); err != nil {
		return false, err
	}
	answers := make([]answer, requests)
	var all sync.WaitGroup
	ask := func(from, to int) {
		for n := from; n < to; n++ {
			all.Go(func() {
				answers[n] = send(e, "POST", "/hold/x", fmt.Sprintf("hold-%02d", n), []byte("one tube"), 3*time.Second, nil)
				s.note("client got %v", answers[n])
			})
		}
	}
	ask(0, 24)
	time.Sleep(100 * time.Millisecond) // each replica has sent the first half of its answers
	if s.trouble {
		s.signal(e.cmd, "the entry", syscall.SIGSTOP)
		s.signal(victim.cmd, victim.id, syscall.SIGKILL)
		time.Sleep(300 * time.Millisecond)
		if _, err := s.restart(victim, "-pause", pause.String()); err != nil {
			return false, err
		}
		time.Sleep(300 * time.Millisecond)
		s.signal(e.cmd, "the entry", syscall.SIGCONT)
	}
	all.Wait()
	ask(24, requests)
	all.Wait()
	whole := strings.Repeat("a", 400) + strings.Repeat("b", 400)
	short := 0
	for _, a := range answers {
		if a.complete() && !bytes.Equal(a.body, []byte(whole)) {
			short++
		}
	}
	s.note("%d answers ended as complete without the second half of the replica's body", short)
	return short > 0, served(answers)
}

// gone plays the crash of a replica whose machine is gone with it, while the replica sends its answers. Two of its
// answers have no length.
func gone(s *site) (bool, error) {
	const requests, pause = 60, 450 * time.Millisecond
	s.configure(1, `{"name":"hold","host":"shop.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":300,"service":"till","maxAttempts":1}`,
		`{"name":"till","healthPath":"/health","maxConnections":110}`)
	var victim *announced
	var network *link
	for n := range 6 {
		args := []string{"-pause", pause.String()}
		if n == 0 {
			args = append(args, "-without-length", "2")
		}
		r, err := s.startReplica(fmt.Sprintf("i-%d", n), "till", "", args...)
		if err != nil {
			return false, err
		}
		if n == 0 {
			victim = r
			if network, err = newLink(s.subnet+"2", r.address); err != nil {
				return false, err
			}
			s.mu.Lock()
			r.address = network.address
			s.mu.Unlock()
			s.announce(r, "ready")
		}
	}
	e, err := s.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := warmUp(s, e, "/hold/x", 360); err != nil {
		return false, err
	}
	answers := make([]answer, requests)
	var all sync.WaitGroup
	ask := func(from, to int) {
		for n := from; n < to; n++ {
			all.Go(func() {
				answers[n] = send(e, "POST", "/hold/x", fmt.Sprintf("hold-%02d", n), []byte("one tube"), 3*time.Second, nil)
				s.note("client got %v", answers[n])
			})
		}
	}
	ask(0, 24)
	time.Sleep(100 * time.Millisecond) // each replica has sent the first half of its answers
	if s.trouble {
		if err := network.cut(); err != nil {
			return false, err
		}
		s.note("the machine of %s is gone: packets to it are not answered any more", victim.id)
		s.signal(victim.cmd, victim.id, syscall.SIGKILL)
		s.mu.Lock()
		victim.gone = true // its entry stays in the store, as for three heartbeats
		s.mu.Unlock()
	}
	all.Wait()
	if s.trouble {
		s.remove(victim)
	}
	ask(24, requests)
	all.Wait()
	whole := strings.Repeat("a", 400) + strings.Repeat("b", 400)
	short := 0
	for _, a := range answers {
		if a.complete() && !bytes.Equal(a.body, []byte(whole)) {
			short++
		}
	}
	s.note("%d answers ended as complete without the second half of the replica's body", short)
	return short > 0, served(answers)
}

// warmUp sends requests that are answered at once, a few at a time.
func warmUp(s *site, e *entry, path string, requests int) error {
	const atATime = 24
	for first := 0; first < requests; first += atATime {
		var all sync.WaitGroup
		answers := make([]answer, atATime)
		for n := range answers {
			all.Go(func() {
				answers[n] = send(e, "POST", path, fmt.Sprintf("%s%03d", warmUpPrefix, first+n), []byte("body"), 3*time.Second, nil)
			})
		}
		all.Wait()
		if err := served(answers); err != nil {
			return fmt.Errorf("before the disruption: %w", err)
		}
	}
	s.note("%d requests were answered before", requests)
	return nil
}

// served returns an error unless most requests were served: otherwise the case says nothing.
func served(answers []answer) error {
	complete := 0
	for _, a := range answers {
		if a.complete() {
			complete++
		}
	}
	if 2*complete < len(answers) {
		return fmt.Errorf("only %d of %d requests were served", complete, len(answers))
	}
	return nil
}

var errRestart = errors.New("the replica did not start again")

// restart starts a replica again under its ID and address, as a new incarnation.
func (s *site) restart(r *announced, args ...string) (*announced, error) {
	s.mu.Lock()
	r.gone = true // no more announcements of the old incarnation
	s.mu.Unlock()
	var next *announced
	err := waitFor(3*time.Second, func() bool {
		var err error
		next, err = s.startReplica(r.id, r.service, r.address, args...)
		return err == nil
	})
	if err != nil {
		return nil, errors.Join(errRestart, err)
	}
	return next, nil
}
