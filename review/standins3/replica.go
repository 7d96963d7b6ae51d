//go:build review3

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/platform/standin"
)

const (
	// A stream has pieceCount events at intervals of pieceInterval. A plain request takes workTime.
	pieceCount    = 12
	pieceInterval = 25 * time.Millisecond
	workTime      = 40 * time.Millisecond
	plainBytes    = 800
)

// replica is a stand-in of a replica. Its reports and orders are those of the project's own stand-in.
type replica struct {
	*journal
	service, id, address string
	control              *standin.Replica

	// idStep is the distance between the ids of two events of a stream; they increase by 1 if it is 0.
	idStep int
	// weights is the version of the weights; 0 for a server without weights.
	weights int
	// queueTime is how long a long request waits for a slot before its body is read.
	queueTime time.Duration
	// fail, if set, answers a plain request that has run, and reports whether it did.
	fail func(w http.ResponseWriter, req *http.Request, id string) bool

	mu sync.Mutex
	// runs counts the runs by request ID.
	runs map[string]int
}

// announcement returns the replica's entry: that of the project's stand-in, and the fields that it leaves out.
func (r *replica) announcement() []byte {
	var entry map[string]any
	_ = json.Unmarshal(r.control.Announcement(r.service, r.address, "ready"), &entry) // the stand-in writes an object
	entry["version"] = "v1"
	if r.service == "model" {
		entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": max(r.weights, 1), "adapters": []any{}}}
	} else {
		delete(entry, "group")
		delete(entry, "size")
	}
	data, _ := json.Marshal(entry) // plain values always encode
	return data
}

// ran returns how often the replica has run a request.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case strings.HasPrefix(req.URL.Path, "/-/"):
		r.control.ServeHTTP(w, req)
		return
	case req.URL.Path == "/health":
		w.Header().Set("X-Fescuehub-Replica-Id", r.id)
		return
	}
	id := req.Header.Get("X-Fescuehub-Request-Id")
	w.Header().Set("X-Fescuehub-Request-Id", id)
	w.Header().Set("X-Fescuehub-Replica-Id", r.id)
	if expected := req.Header.Get("X-Fescuehub-Expect-Replica"); expected != "" && expected != r.id {
		r.printf("server %s answers 421 to %s: it is not %s", r.id, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := req.Header.Get("X-Fescuehub-Expect-Version"); expected != "" && r.weights != 0 && expected != strconv.Itoa(r.weights) {
		r.printf("server %s answers 421 to %s: its weights have version %d, not %s", r.id, id, r.weights, expected)
		w.Header().Set("At-Server", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if strings.HasPrefix(req.URL.Path, "/upload/") {
		time.Sleep(r.queueTime)
	}
	if n, err := io.Copy(io.Discard, req.Body); err != nil {
		r.printf("server %s: the connection of %s ended after %d of %d bytes of its body: %v", r.id, id, n, req.ContentLength, err)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.printf("server %s runs %s", r.id, id)
	if r.service == "model" {
		r.stream(w, req, id)
		return
	}
	time.Sleep(workTime)
	if r.fail != nil && r.fail(w, req, id) {
		return
	}
	w.Header().Set("X-Fescuehub-Response-Seal", "seal-"+id)
	_, _ = io.WriteString(w, plainAnswer(r.id, id, plainBytes))
}

// plainAnswer is the body of a replica's answer to a request, of a number of bytes. Its last bytes tell that it is whole.
func plainAnswer(replica, id string, size int) string {
	begin, end := fmt.Sprintf("answer of %s to %s ", replica, id), " end of "+id
	return begin + strings.Repeat("x", max(size-len(begin)-len(end), 0)) + end
}

func (r *replica) stream(w http.ResponseWriter, req *http.Request, id string) {
	w.Header().Set("X-Fescuehub-Response-Seal", "seal-"+id)
	w.Header().Set("X-Fescuehub-Weight-Versions", strconv.Itoa(max(r.weights, 1)))
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if there is none
	step := max(r.idStep, 1)
	for piece := 1; piece <= pieceCount; piece++ {
		if piece*step <= last {
			continue
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d of %s\n\n", piece*step, piece, pieceCount, id); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-req.Context().Done():
			r.printf("server %s: the connection of %s ended after piece %d", r.id, id, piece)
			return
		case <-time.After(pieceInterval):
		}
	}
	r.printf("server %s has answered %s", r.id, id)
}
