//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: keyed topics with one partition, and groups whose only partition
// belongs to one member.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
}

type topic struct {
	records [][]byte
	newest  map[string]int
	changed chan struct{}
}

type group struct {
	generation int64
	seen       map[string]time.Time
	ttl        time.Duration
	owner      string
}

func newStore() *store { return &store{topics: map[string]*topic{}, groups: map[string]*group{}} }

// of returns a topic. s.mu is held.
func (s *store) of(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a replica does. No value drops the key.
func (s *store) put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(content, value...))
}

// add appends the content of a record, and returns its offset. s.mu is held.
func (s *store) add(name string, content []byte) int {
	t := s.of(name)
	t.records = append(t.records, content)
	offset := len(t.records) - 1
	if n := int(content[0]); len(content) == n+1 {
		delete(t.newest, string(content[1:n+1]))
	} else {
		t.newest[string(content[1:n+1])] = offset
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil || len(body) < 6 || int(binary.BigEndian.Uint32(body)) != len(body)-4 || int(body[4]) > len(body)-5 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		offset := s.add(q.Get("topic"), body[4:])
		s.mu.Unlock()
		reply(w, map[string]any{"offset": offset, "end": offset + 1})
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.listNewest(w, q.Get("topic"), q.Get("after"))
	case "/-/log-join":
		s.join(w, r)
	case "/-/log-leave":
		reply(w, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		t := s.of(q.Get("topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if from < len(records) || !waiting {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, content := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
				out = append(out, content...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) listNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.of(name)
	keys := []string{}
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	items := []map[string]any{}
	for _, key := range keys {
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	reply(w, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Group, Member string
		TTLMs         int64 `json:"ttlMs"`
		Topics        []string
	}
	if json.NewDecoder(r.Body).Decode(&req) != nil || len(req.Topics) == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[req.Group]
	if g == nil {
		g = &group{seen: map[string]time.Time{}}
		s.groups[req.Group] = g
	}
	g.ttl = time.Duration(req.TTLMs) * time.Millisecond
	g.seen[req.Member] = time.Now()
	if at, ok := g.seen[g.owner]; !ok || time.Since(at) > g.ttl {
		g.owner = req.Member
		g.generation++
	}
	parts := [][]any{}
	if g.owner == req.Member {
		parts = append(parts, []any{req.Topics[0], 0, 0})
	}
	reply(w, map[string]any{"generation": g.generation, "ttlMs": req.TTLMs, "parts": parts})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
