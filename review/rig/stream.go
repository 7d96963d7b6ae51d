//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a client's request for a stream.
type request struct {
	id, path, body string
}

// stream is what a client has received.
type stream struct {
	request
	sent   time.Time
	status string
	events int
	// complete is true if the answer was a success that ended as complete.
	complete bool
	err      error
}

// readStream sends a request on a new connection and reads its stream to the end.
func readStream(front string, r request) stream {
	s := stream{request: r, sent: time.Now()}
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		s.err = err
		return s
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(12 * time.Second))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Model: m\r\nX-Fescuehub-Token-Counts: 700,350\r\n"+
		"X-Fescuehub-Request-Deadline-Ms: 8000\r\nX-Fescuehub-Key: %s\r\nContent-Length: %d\r\n\r\n%s", r.path, host, r.id, tenantKey, len(r.body), r.body)
	if err != nil {
		s.err = err
		return s
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.err = err
		return s
	}
	s.status = res.Status
	for lines := bufio.NewReader(res.Body); ; {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			s.events++
		}
		if err != nil {
			s.complete = errors.Is(err, io.EOF) && res.StatusCode == http.StatusOK
			s.err = err
			return s
		}
	}
}
