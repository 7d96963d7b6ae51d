//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// warmUpPrefix begins the IDs of requests that are answered without a pause, before the others.
const warmUpPrefix = "before-"

// replicaSettings are the settings of a replica process.
type replicaSettings struct {
	id, address, log string
	// events is the number of events of a stream, and pause the time before each but the first. A response that is no
	// stream is sent in two halves with the same pause between them.
	events int
	pause  time.Duration
	// bodyBytes is the length of the body of an answer that is no stream.
	bodyBytes int
	// withoutLength is the number of answers that have no length and end with their connection. They are at most one in
	// answersPerOdd of those that the replica has given.
	withoutLength int64
}

// runReplica runs a replica until it is killed, or exits by itself when a line arrives on its standard input. It
// writes to its log what it ran and which answers it finished.
func runReplica(args []string) error {
	var s replicaSettings
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	flags.StringVar(&s.id, "id", "", "ID")
	flags.StringVar(&s.address, "address", "", "IP:port")
	flags.StringVar(&s.log, "log", "", "file to append to")
	flags.IntVar(&s.events, "events", 0, "events of a stream; 0 for a plain answer")
	flags.DurationVar(&s.pause, "pause", 0, "pause within an answer")
	flags.IntVar(&s.bodyBytes, "body-bytes", 800, "length of the body of a plain answer")
	flags.Int64Var(&s.withoutLength, "without-length", 0, "number of answers without a length")
	if err := flags.Parse(args); err != nil {
		return err
	}
	log, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	go func() {
		// The platform ends the process by closing its standard input.
		_, _ = io.Copy(io.Discard, os.Stdin)
		fmt.Fprintf(log, "%s exits\n", s.id)
		os.Exit(0)
	}()
	r := &replica{replicaSettings: s, log: log}
	for {
		nc, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(nc)
	}
}

// answersPerOdd is the largest share of answers without a length: x = .05 of the site files.
const answersPerOdd = 20

type replica struct {
	replicaSettings
	mu  sync.Mutex
	log *os.File
	// answers counts all answers, and odd those without a length.
	answers, odd int64
}

// nextFramedUnless counts an answer and reports whether it has a length or chunks. One that is quick always has.
func (r *replica) nextFramedUnless(quick bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers++
	if !quick && r.odd < r.withoutLength && r.answers >= answersPerOdd*(r.odd+1) {
		r.odd++
		return false
	}
	return true
}

func (r *replica) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.log, format+"\n", args...)
}

// serve serves one request at a time on a connection.
func (r *replica) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !r.answer(nc, req, body) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection is kept.
func (r *replica) answer(nc net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Fescuehub-Request-Id")
	if expected := req.Header.Get("X-Fescuehub-Expect-Replica"); expected != "" && expected != r.id {
		fmt.Fprintf(nc, "HTTP/1.1 421 Misdirected Request\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	warmUp := strings.HasPrefix(id, warmUpPrefix)
	framed := r.nextFramedUnless(warmUp)
	r.record("%s runs %s (%d bytes in, after event %q), answer with a length or chunks: %t", r.id, id, len(body), req.Header.Get("Last-Event-Id"), framed)
	var head strings.Builder
	fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Response-Seal: seal.%s\r\n", id, id)
	var pieces []string
	if r.events > 0 {
		head.WriteString("Content-Type: text/event-stream\r\n")
		first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if missing
		for n := first + 1; n <= r.events; n++ {
			pieces = append(pieces, fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, r.events))
		}
	} else {
		pieces = []string{strings.Repeat("a", r.bodyBytes/2), strings.Repeat("b", r.bodyBytes-r.bodyBytes/2)}
	}
	switch {
	case !framed:
		head.WriteString("Connection: close\r\n")
	case r.events > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", r.bodyBytes)
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(nc, head.String()); err != nil {
		return false
	}
	for n, piece := range pieces {
		if n > 0 && !warmUp {
			time.Sleep(r.pause)
		}
		if framed && r.events > 0 {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(nc, piece); err != nil {
			r.record("%s drops %s at piece %d of %d: its connection closed", r.id, id, n+1, len(pieces))
			return false
		}
	}
	if framed && r.events > 0 {
		if _, err := io.WriteString(nc, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	r.record("%s has sent the whole answer to %s", r.id, id)
	return framed
}
