//go:build review

// Command harness plays one case of the review against separate processes on loopback: the entries are the
// program of the deploy file, the store is the project's stand-in, and the backend servers and callers are
// small stand-ins of this package.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fescuehub/fescuehub/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
)

// settingsEnv names the settings file of a process.
const settingsEnv = "FESCUEHUB_BOOT"

// graceSeconds is the grace period in the settings, as in the sites.
const graceSeconds = 8

// site is a small deployment: a store, backend servers in this process, and entries as processes.
type site struct {
	dir, binary string
	store       *standin.Store
	storeAddr   string
	prefix      string
	basePort    int
	record      *record

	mu      sync.Mutex
	entries []*entry
}

// record writes what happens to the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// entry is one entry process.
type entry struct {
	name, ip, front, ready, directory string
	command                           *exec.Cmd
	exited                            chan struct{}
}

// running is the site of the case; nil before it exists.
var running atomic.Pointer[site]

// fail ends the case, with all processes that it started, because it cannot run.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case cannot run:", err)
	if s := running.Load(); s != nil {
		s.close()
	}
	os.Exit(exitCannotRun)
}

func listen(address string) net.Listener {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail(err)
	}
	return l
}

func freePort(ip string) int {
	l := listen(ip + ":0")
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// newSite starts the store. Each entry has a loopback address of its own.
func newSite(binary, dir string, rec *record) *site {
	s := &site{dir: dir, binary: binary, store: standin.NewStore(), record: rec, prefix: fmt.Sprintf("127.91.%d.", 1+os.Getpid()%250)}
	l := listen("127.0.0.1:0")
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	return s
}

func (s *site) startEntry(n int) *entry {
	ip := s.prefix + strconv.Itoa(10+n)
	address := func() string { return net.JoinHostPort(ip, strconv.Itoa(freePort(ip))) }
	if s.basePort == 0 {
		s.basePort = freePort(ip)
	}
	e := &entry{name: fmt.Sprintf("entry-%d", n), ip: ip, front: address(), ready: address(), directory: address(), exited: make(chan struct{})}
	settings, _ := json.Marshal(map[string]any{
		"nodeName": e.name, "role": "entry", "ip": ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"serves":        []string{"front", "directory"},
		"listen":        map[string]string{"front": e.front, "ready": e.ready, "directory": e.directory},
		"internalPorts": []int{min(s.basePort, 65000), min(s.basePort, 65000) + 15}, "limits": map[string]int{"memoryMb": 284, "maxFds": 4100},
		"platform": map[string]any{"address": s.storeAddr, "form": "log"}, "heartbeatMs": 1200,
		"bounds": map[string]any{
			"stableWindowMs": 3000, "drainMs": 2000, "graceS": graceSeconds, "lossSlackMs": 200, "configApplyMs": 2000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"retryBudgetFloor": 94, "stall_ms": 1500, "requireFencing": true, "ttl_max_s": 5,
		},
	})
	path := filepath.Join(s.dir, e.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		fail(err)
	}
	logFile, err := os.Create(filepath.Join(s.dir, e.name+".log"))
	if err != nil {
		fail(err)
	}
	e.command = exec.Command(s.binary, "site", "entry")
	e.command.Env = append(os.Environ(), settingsEnv+"="+path)
	e.command.Stdout, e.command.Stderr = logFile, logFile
	// The entry ends with this process, whatever ends that. The main goroutine starts it and keeps its thread.
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		fail(err)
	}
	go func() { _ = e.command.Wait(); close(e.exited) }()
	s.mu.Lock()
	s.entries = append(s.entries, e)
	s.mu.Unlock()
	return e
}

// close ends the processes and removes their files.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		_ = e.command.Process.Kill()
		<-e.exited
	}
	_ = os.RemoveAll(s.dir)
}

// mustRun ends the case as one that cannot run if an entry has ended by itself.
func (s *site) mustRun(entries ...*entry) {
	for _, e := range entries {
		select {
		case <-e.exited:
			fail(fmt.Errorf("%s has ended by itself", e.name))
		default:
		}
	}
}

func (e *entry) isReady() bool {
	res, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.ready + "/-/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (s *site) waitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, e := range s.entries {
			all = all && e.isReady()
		}
		if all {
			return
		}
		if time.Now().After(end) {
			fail(fmt.Errorf("the entries are not ready 15 s after their start"))
		}
	}
}

// resolve asks an entry where to connect, as a caller does, and returns the addresses and their lifetime.
func (e *entry) resolve() ([]string, float64, error) {
	res, err := (&http.Client{Timeout: time.Second}).Get("http://" + e.directory + "/-/resolve?name=shop.example&region=r&zone=a")
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	err = json.NewDecoder(res.Body).Decode(&body)
	return body.Addresses, body.TTLS, err
}

// streamServer is a sound backend server: each request gets a stream of events at equal pauses.
type streamServer struct {
	id     string
	events int
	pause  time.Duration
	record *record

	mu   sync.Mutex
	runs map[string]string
}

func (r *streamServer) set(id, state string) {
	r.mu.Lock()
	r.runs[id] = state
	r.mu.Unlock()
	r.record.log("server %s: request %s %s", r.id, id, state)
}

func (r *streamServer) state(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *streamServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Fescuehub-Request-Id")
	w.Header().Set("X-Fescuehub-Request-Id", id)
	if expected := req.Header.Get("X-Fescuehub-Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Fescuehub-Response-Seal", "seal-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	r.set(id, "runs")
	first, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= r.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-req.Context().Done():
			r.set(id, fmt.Sprintf("was broken off by its sender after event %d", n))
			return
		case <-time.After(r.pause):
		}
	}
	r.set(id, "ran to its end")
}

// call is a request of a caller on one connection.
type call struct {
	id     string
	conn   net.Conn
	status int
	events int
	whole  bool
	err    error
	sentAt time.Time
	took   time.Duration
}

// send sends a stream request and reads its answer to the end.
func (c *call) send(path string, deadline time.Duration) {
	c.sentAt = time.Now()
	defer func() { c.took = time.Since(c.sentAt) }()
	_ = c.conn.SetDeadline(c.sentAt.Add(deadline))
	body := "question"
	_, c.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Fescuehub-Request-Id: %s\r\nX-Fescuehub-Request-Deadline-Ms: %d\r\nX-Fescuehub-Key: key-1\r\nContent-Length: %d\r\n\r\n%s",
		path, c.id, deadline.Milliseconds(), len(body), body)
	if c.err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(c.conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		c.err = err
		return
	}
	defer res.Body.Close()
	c.status = res.StatusCode
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if len(lines.Bytes()) > 3 && string(lines.Bytes()[:3]) == "id:" {
			c.events++
		}
	}
	c.err = lines.Err()
	c.whole = c.err == nil
}

func main() {
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/fescuehub", "the program of the deploy file")
	out := flag.String("record", "record.txt", "the file to which the case writes what was sent, answered and run")
	flag.Parse()
	file, err := os.Create(*out)
	if err != nil {
		fail(err)
	}
	rec := &record{file: file, start: time.Now()}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fail(err)
	}
	play, ok := cases[*name]
	if !ok {
		fail(fmt.Errorf("there is no case %q", *name))
	}
	s := newSite(*binary, dir, rec)
	running.Store(s)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { fail(fmt.Errorf("stopped by the signal %v", <-stop)) }()
	broken := play(s, os.Getenv("TROUBLE") != "0")
	s.close()
	if broken {
		rec.log("the rule was broken")
		os.Exit(exitBroken)
	}
	rec.log("the rule held")
	os.Exit(exitHeld)
}
