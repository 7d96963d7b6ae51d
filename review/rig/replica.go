//go:build review

package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// runReplica is a replica in a process of its own. It answers with streams of events and prints a line for each
// request that it runs. With plain, it answers with deskBody instead, and with status 500 and deskFailure where the path
// asks for it.
func runReplica(args []string) int {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	address := flags.String("address", "", "")
	id := flags.String("id", "", "")
	events := flags.Int("events", 0, "")
	gap := flags.Duration("gap", 0, "")
	eventBytes := flags.Int("event-bytes", 65, "")
	plain := flags.Bool("plain", false, "")
	if flags.Parse(args) != nil {
		return 2
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	data := make([]byte, *eventBytes)
	for i := range data {
		data[i] = 'x'
	}
	fmt.Println("LISTENING", *id)
	err = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("X-Fescuehub-Request-Id")
		if r.URL.Path == "/health" {
			w.Header().Set("X-Fescuehub-Replica-Id", *id)
			return
		}
		w.Header().Set("X-Fescuehub-Request-Id", request)
		if want := r.Header.Get("X-Fescuehub-Expect-Replica"); want != "" && want != *id {
			w.Header().Set("X-Fescuehub-Replica-Id", *id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if *plain {
			answerPlainly(w, r, *id, request)
			return
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Println("RUN", *id, request, "from", last+1)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Fescuehub-Response-Seal", "seal."+request)
		w.WriteHeader(http.StatusOK)
		for n := last + 1; n <= *events; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				fmt.Println("LEFT", *id, request, "after", n-1)
				return
			}
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				fmt.Println("LEFT", *id, request, "after", n)
				return
			case <-time.After(*gap):
			}
		}
		fmt.Println("END", *id, request)
	}))
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// deskWork is the time of a plain request.
const deskWork = 60 * time.Millisecond

// The bodies of plain answers, 800 bytes each.
var (
	deskBody    = strings.Repeat("crew and pen\n", 61) + "the end"
	deskFailure = strings.Repeat("no such pen.\n", 61) + "the end"
)

// answerPlainly answers a plain request. One whose path holds "unknown" fails, at whichever replica it runs.
func answerPlainly(w http.ResponseWriter, r *http.Request, id, request string) {
	time.Sleep(deskWork)
	status, body := http.StatusOK, deskBody
	if strings.Contains(r.URL.Path, "unknown") {
		status, body = http.StatusInternalServerError, deskFailure
	}
	fmt.Println("RUN", id, request, "status", status, "body", len(body))
	w.Header().Set("X-Fescuehub-Response-Seal", "seal."+request)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
