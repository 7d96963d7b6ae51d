//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got for one request.
type answer struct {
	id     string
	status int
	sealed bool
	body   []byte
	// err is why the answer is not complete; nil if it ended as a complete one.
	err  error
	took time.Duration
}

// send sends one request on a new connection and reads the answer to its end.
func send(e *entry, method, path, id string, body []byte, deadline time.Duration, headers map[string]string) (a answer) {
	a.id = id
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Fescuehub-Request-Id", id)
	req.Header.Set("X-Fescuehub-Key", apiKey)
	req.Header.Set("X-Fescuehub-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	a.status, a.sealed = res.StatusCode, res.Header.Get("X-Fescuehub-Response-Seal") != ""
	a.body, a.err = io.ReadAll(res.Body)
	return a
}

// events returns the number of complete events in the body.
func (a answer) events() int { return strings.Count(string(a.body), "\n\n") }

// complete reports whether the client holds the answer for a complete success.
func (a answer) complete() bool { return a.err == nil && a.status/100 == 2 && a.sealed }

func (a answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("%s: no answer: %v", a.id, a.err)
	case a.err != nil:
		return fmt.Sprintf("%s: status %d, sealed %t, %d bytes, then broken off: %v", a.id, a.status, a.sealed, len(a.body), a.err)
	}
	return fmt.Sprintf("%s: status %d, sealed %t, %d bytes, ended as complete", a.id, a.status, a.sealed, len(a.body))
}
