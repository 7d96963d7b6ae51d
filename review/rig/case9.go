//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stream is what a client has received.
type stream struct {
	id, status string
	events     []string
	// complete is true if the answer ended as complete.
	complete bool
	err      error
}

// openStream sends a request for a stream on a new connection and returns the answer's head.
func openStream(front, id, body string) (net.Conn, *http.Response, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, nil, err
	}
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	_, err = fmt.Fprintf(c, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Model: m\r\nX-Fescuehub-Token-Counts: 700,350\r\n"+
		"X-Fescuehub-Request-Deadline-Ms: 8000\r\nX-Fescuehub-Key: %s\r\nContent-Length: %d\r\n\r\n%s", host, id, tenantKey, len(body), body)
	if err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			return c, res, nil
		}
	}
	_ = c.Close()
	return nil, nil, err
}

// readStream reads the events of a stream until it ends.
func readStream(front, id, body string) stream {
	s := stream{id: id}
	c, res, err := openStream(front, id, body)
	if err != nil {
		s.err = err
		return s
	}
	defer c.Close()
	s.status = res.Status
	lines := bufio.NewReader(res.Body)
	for {
		line, err := lines.ReadString('\n')
		if event, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			s.events = append(s.events, event)
		}
		if err != nil {
			s.complete = errors.Is(err, io.EOF) && res.StatusCode == http.StatusOK
			s.err = err
			return s
		}
	}
}

const (
	streams9 = 40
	events9  = 60
)

// case9: a replica that has announced that it drains is taken away 2 s later, while it answers.
func (w *world) case9() (broken bool, err error) {
	w.putConfiguration()
	var servers []*server
	for n := range 4 {
		args := []string{"-events", fmt.Sprint(events9), "-gap", "60ms"}
		if n == 0 {
			args = append(args, "-unframed-every", "5") // 2 of its about 10 answers, 2 of all 40
		}
		s, err := w.startServer(fmt.Sprintf("i-%d", n+1), "model", args...)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	e, err := w.startEntry()
	if err != nil {
		return false, err
	}
	results := make([]stream, streams9)
	var all sync.WaitGroup
	for n := range results {
		all.Go(func() { results[n] = readStream(e.front, fmt.Sprintf("stream-%02d", n), "draft a rota") })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		if os.Getenv("TROUBLE") != "crash" { // for comparison: the same end without the announcement
			w.announce(servers[0], "draining")
		}
		time.Sleep(2 * time.Second)
		w.say("%s is taken away", servers[0].id)
		_ = servers[0].process.Process.Signal(syscall.SIGKILL)
	}
	all.Wait()
	whole := 0
	for _, s := range results {
		w.say("client: %s got %q, %d of %d events, ended as complete: %v (%v)", s.id, s.status, len(s.events), events9, s.complete, s.err)
		if !s.complete {
			continue
		}
		if len(s.events) == events9 {
			whole++
			continue
		}
		broken = true
		w.say("ORDER broken: %s ended as complete before its last piece", s.id)
	}
	if whole < streams9/2 {
		return false, fmt.Errorf("only %d streams were whole", whole)
	}
	return broken, nil
}
