//go:build review

package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

// runReplica is a replica in a process of its own. It answers with streams of events and prints a line for each
// request that it runs. Each unframedEvery-th answer, from the first on, has no length and ends with its connection.
func runReplica(args []string) int {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	address := flags.String("address", "", "")
	id := flags.String("id", "", "")
	events := flags.Int("events", 0, "")
	gap := flags.Duration("gap", 0, "")
	eventBytes := flags.Int("event-bytes", 65, "")
	unframedEvery := flags.Int64("unframed-every", 0, "")
	if flags.Parse(args) != nil {
		return 2
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	var answers atomic.Int64
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
		framing := "chunked"
		if n := answers.Add(1) - 1; *unframedEvery > 0 && n%*unframedEvery == 0 {
			framing = "unframed"
			w.Header().Set("Transfer-Encoding", "identity") // the answer has no length and ends with its connection
		}
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		fmt.Println("RUN", *id, request, "from", last+1, framing)
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
