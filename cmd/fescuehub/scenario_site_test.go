package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// awaitBound ends every wait of a script. It is generous: it only tells a
// script that hangs from one that passes.
const awaitBound = 60 * time.Second

// maxTestBodyBytes bounds the body of a request in scripts.
const maxTestBodyBytes = 1 << 16

const awaitPause = 20 * time.Millisecond

// environment holds the variables that a site sets.
type environment interface {
	Setenv(name, value string)
	Getenv(name string) string
}

// testSite is the deployment of one script.
type testSite struct {
	dir string
	// environment is added to that of every process.
	environment []string
	mu          sync.Mutex
	procs       map[string]*process
	relays      map[string]*relay
	calls       map[string]*pendingCall
	race        []raceResult
	storm       *storm
	watch       *watch
	maps        mapsSeen
	// rankURLs are the base URLs of the engines.
	rankURLs []string
}

// process is one process of the deployment.
type process struct {
	args   []string
	cmd    *exec.Cmd
	exited chan struct{}
	code   int
}

type siteKey struct{}

func newSite(dir string) *testSite {
	return &testSite{dir: dir, procs: make(map[string]*process), relays: make(map[string]*relay), calls: make(map[string]*pendingCall)}
}

func setupSite(env *testscript.Env) error {
	s := newSite(env.WorkDir)
	env.Setenv("LARGE", strings.Repeat("x", maxTestBodyBytes+1))
	env.Values[siteKey{}] = s
	env.Defer(s.stopAll)
	return nil
}

func siteOf(ts *testscript.TestScript) *testSite { return ts.Value(siteKey{}).(*testSite) }

// start runs a process with the arguments that it had before.
func (s *testSite) start(name string, args ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(args) == 0 {
		old, ok := s.procs[name]
		if !ok {
			return fmt.Errorf("no process %s", name)
		}
		args = old.args
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("fescuehub", args...)
	cmd.Env = append(os.Environ(), s.environment...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{args: args, cmd: cmd, exited: make(chan struct{})}
	s.procs[name] = p
	go func() {
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		_ = log.Close()
		close(p.exited)
	}()
	return nil
}

func (s *testSite) process(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.procs[name]
	if !ok {
		return nil, fmt.Errorf("no process %s", name)
	}
	return p, nil
}

func (s *testSite) stopAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.procs {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	for _, r := range s.relays {
		r.close()
	}
}

// siteSize is how many processes of each kind a script asks for.
type siteSize struct {
	entries, engines, services int
	linger, shutdown           int
	// retention of the log in seconds, 0 for a day.
	retention int
	bare      bool
	relays    bool
	split     bool
	// group makes the engines the ranks of one group that check no fencing.
	group bool
}

// build writes the settings of every process and starts them unless bare.
func (s *testSite) build(ts environment, size siteSize) error {
	logAddr, listAddr, weights := freeAddress(), freeAddress(), freeAddress()
	ts.Setenv("LOG", "http://"+logAddr)
	ts.Setenv("LIST", "http://"+listAddr)
	ts.Setenv("WEIGHTS", "http://"+weights)
	order := []string{"log", "weights", "instances"}
	keep := "24h"
	if size.retention > 0 {
		keep = fmt.Sprint(size.retention) + "s"
	}
	s.prepare("log", "standin", "log", "--listen", logAddr, "--retention", keep)
	s.prepare("weights", "standin", "weights", "--listen", weights)
	var list instancelist.List
	s.rankURLs = nil
	for range size.engines {
		s.rankURLs = append(s.rankURLs, "http://"+freeAddress())
	}
	for i := 1; i <= size.engines; i++ {
		order = append(order, s.backend(ts, &list, "engine", i, size)...)
	}
	for i := 1; i <= size.services; i++ {
		order = append(order, s.backend(ts, &list, "service", i, size)...)
	}
	for i := 1; i <= size.entries; i++ {
		order = append(order, s.entry(ts, &list, i, size))
	}
	s.mustWriteJSON("instances.json", list)
	s.prepare("instances", "standin", "instances", "--listen", listAddr, "--list", filepath.Join(s.dir, "instances.json"))
	if size.bare {
		return nil
	}
	for _, name := range order {
		if err := s.start(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *testSite) prepare(name string, args ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	exited := make(chan struct{})
	close(exited)
	s.procs[name] = &process{args: args, cmd: &exec.Cmd{Process: &os.Process{Pid: -1}}, exited: exited}
}

func (s *testSite) backend(ts environment, list *instancelist.List, kind string, i int, size siteSize) []string {
	name := fmt.Sprintf("%s-%d", kind, i)
	address := freeAddress()
	upper := strings.ToUpper(kind) + fmt.Sprint(i)
	args := []string{"standin", kind, "--name", name}
	weights := ""
	if kind == "engine" {
		address = strings.TrimPrefix(s.rankURLs[i-1], "http://")
		if size.group {
			args = append(args, "--rank", fmt.Sprint(i-1), "--rank-urls", strings.Join(s.rankURLs, ","), "--check-fencing=false")
			weights = ts.Getenv("WEIGHTS")
		}
	}
	ts.Setenv(upper, "http://"+address)
	s.prepare(name, append(args, "--listen", address)...)
	domain := fmt.Sprintf("domain-%d", (i-1)%3+1)
	as := settings.Agent{
		Name: "agent-" + name, FailureDomain: domain, Pool: poolOf(kind, i, size),
		DataAddress: freeAddress(), ControlAddress: freeAddress(), OperatorAddress: freeAddress(),
		LogURL: ts.Getenv("LOG"), Backend: settings.Backend{Kind: kind, URL: "http://" + address},
		ShutdownSeconds: size.shutdown, WeightsURL: weights,
	}
	ts.Setenv("AGENT_"+upper, "http://"+as.OperatorAddress)
	ts.Setenv("AGENT_"+upper+"_CONTROL", as.ControlAddress)
	ts.Setenv("AGENT_"+upper+"_OPADDR", as.OperatorAddress)
	s.mustWriteJSON(as.Name+".json", as)
	s.prepare(as.Name, "agent", "--settings", filepath.Join(s.dir, as.Name+".json"))
	data, control := as.DataAddress, as.ControlAddress
	if size.relays {
		data, control = s.relay(as.Name, data), s.relay(as.Name, control)
	}
	list.Instances = append(list.Instances, instancelist.Instance{
		Name: as.Name, Role: instancelist.Agent, State: instancelist.Live, FailureDomain: domain, Pool: as.Pool,
		DataAddress: data, ControlAddress: control,
	})
	return []string{name, as.Name}
}

// poolOf puts every second service in a pool of its own where the site is split.
func poolOf(kind string, i int, size siteSize) string {
	if size.split && i%2 == 0 {
		return kind + "s-2"
	}
	return kind + "s"
}

func (s *testSite) entry(ts environment, list *instancelist.List, i int, size siteSize) string {
	es := settings.Entry{
		Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", (i-1)%3+1),
		CallerAddress: freeAddress(), PeerAddress: freeAddress(), OperatorAddress: freeAddress(),
		LogURL: ts.Getenv("LOG"), InstancesURL: ts.Getenv("LIST"),
		AddressLifetimeSeconds: size.linger, ShutdownSeconds: size.shutdown,
		MaxBodyBytes: maxTestBodyBytes, BodySeconds: 1,
		PlanSeconds: 1, PlannerLeaseSeconds: 4, LogRetentionSeconds: size.retention,
	}
	upper := fmt.Sprintf("ENTRY%d", i)
	ts.Setenv(upper, "http://"+es.CallerAddress)
	ts.Setenv(upper+"_CALLER", es.CallerAddress)
	ts.Setenv(upper+"_OP", "http://"+es.OperatorAddress)
	ts.Setenv(upper+"_OPADDR", es.OperatorAddress)
	ts.Setenv(upper+"_ADDR", es.CallerAddress)
	s.mustWriteJSON(es.Name+".json", es)
	s.prepare(es.Name, "entry", "--settings", filepath.Join(s.dir, es.Name+".json"))
	list.Instances = append(list.Instances, instancelist.Instance{
		Name: es.Name, Role: instancelist.Entry, State: instancelist.Live, FailureDomain: es.FailureDomain,
		CallerAddress: es.CallerAddress, PeerAddress: es.PeerAddress,
	})
	return es.Name
}

// mustWriteJSON writes into the directory of the script, which the test made.
func (s *testSite) mustWriteJSON(name string, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.dir, name), data, 0o644)
	}
	if err != nil {
		panic(err)
	}
}

var (
	addressMu   sync.Mutex
	usedAddress = make(map[string]bool)
)

// freeAddress returns a loopback address that no script of this run has used.
func freeAddress() string {
	addressMu.Lock()
	defer addressMu.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if usedAddress[address] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		usedAddress[address] = true
		return address
	}
}

// Ports of the deployments. They lie below those that the kernel gives to
// outgoing connections, which would take them before their process starts.
const (
	firstPort = 10_240
	ports     = 32_768 - firstPort
)

// relay passes connections on until it is cut.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

func (s *testSite) relay(name, target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := &relay{listener: l, target: target}
	s.mu.Lock()
	s.relays[fmt.Sprintf("%s#%d", name, len(s.relays))] = r
	s.mu.Unlock()
	go r.run()
	return l.Addr().String()
}

func (r *relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(c)
	}
}

func (r *relay) pass(c net.Conn) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	out, err := net.Dial("tcp", r.target)
	if cut || err != nil {
		_ = c.Close()
		if out != nil {
			_ = out.Close()
		}
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, c, out)
	r.mu.Unlock()
	go func() { _, _ = io.Copy(out, c); _ = out.Close() }()
	_, _ = io.Copy(c, out)
	_ = c.Close()
}

// set cuts or mends the relay. A cut breaks open connections.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.conns = nil
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.set(true)
}
