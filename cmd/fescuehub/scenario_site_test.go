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
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// awaitTimeout bounds every wait in a script. It is long, because it only has to detect scripts
// that hang.
const awaitTimeout = 60 * time.Second

// maxTestBodyBytes is the request body limit in the settings of the entries.
const maxTestBodyBytes = 1 << 16

const pollInterval = 20 * time.Millisecond

// variables holds the script variables that a site sets, such as the addresses of its processes.
type variables interface {
	Setenv(name, value string)
	Getenv(name string) string
}

// testSite is the deployment of one script.
type testSite struct {
	dir string
	// extraEnv holds additional KEY=VALUE pairs for every process.
	extraEnv     []string
	mu           sync.Mutex
	procs        map[string]*process
	relays       map[string]*relay
	calls        map[string]*pendingCall
	race         []raceResult
	storm        *storm
	watch        *watch
	observedMaps mapObservations
	// rankURLs holds the base URLs of the engines, in rank order.
	rankURLs []string
}

// process is one process of the deployment. Before its first start cmd is a placeholder.
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

// start runs a process with args, or with its registered arguments if args is empty. Its output
// is appended to NAME.log in the directory of the script.
func (s *testSite) start(name string, args ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(args) == 0 {
		old, ok := s.procs[name]
		if !ok {
			return fmt.Errorf("process %s is not part of the site", name)
		}
		args = old.args
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("fescuehub", args...)
	cmd.Env = append(os.Environ(), s.extraEnv...)
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
		return nil, fmt.Errorf("process %s is not part of the site", name)
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

// siteOptions are the arguments of the site command. Times are in seconds.
type siteOptions struct {
	entries, engines, services int
	addressLifetime, shutdown  int
	// retentionSeconds is the retention of the log; 0 means a day.
	retentionSeconds int
	settingsOnly     bool
	useRelays        bool
	splitPools       bool
	// rankGroup makes the engines the ranks of one group that does not check fencing numbers.
	rankGroup bool
}

// build writes the settings of every process and starts the processes unless settingsOnly is
// set.
func (s *testSite) build(vars variables, options siteOptions) error {
	logAddr, listAddr, weights := freeAddress(), freeAddress(), freeAddress()
	vars.Setenv("LOG", "http://"+logAddr)
	vars.Setenv("LIST", "http://"+listAddr)
	vars.Setenv("WEIGHTS", "http://"+weights)
	order := []string{"log", "weights", "instances"}
	retention := "24h"
	if options.retentionSeconds > 0 {
		retention = fmt.Sprint(options.retentionSeconds) + "s"
	}
	s.register("log", "standin", "log", "--listen", logAddr, "--retention", retention)
	s.register("weights", "standin", "weights", "--listen", weights)
	var list instancelist.List
	s.rankURLs = nil
	for range options.engines {
		s.rankURLs = append(s.rankURLs, "http://"+freeAddress())
	}
	for i := 1; i <= options.engines; i++ {
		order = append(order, s.addBackend(vars, &list, "engine", i, options)...)
	}
	for i := 1; i <= options.services; i++ {
		order = append(order, s.addBackend(vars, &list, "service", i, options)...)
	}
	for i := 1; i <= options.entries; i++ {
		order = append(order, s.addEntry(vars, &list, i, options))
	}
	s.mustWriteJSON("instances.json", list)
	s.register("instances", "standin", "instances", "--listen", listAddr, "--list", filepath.Join(s.dir, "instances.json"))
	if options.settingsOnly {
		return nil
	}
	for _, name := range order {
		if err := s.start(name); err != nil {
			return err
		}
	}
	return nil
}

// register adds a process without starting it.
func (s *testSite) register(name string, args ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	exited := make(chan struct{})
	close(exited)
	s.procs[name] = &process{args: args, cmd: &exec.Cmd{Process: &os.Process{Pid: -1}}, exited: exited}
}

// addBackend registers backend server i of a kind and its agent, and returns their names.
func (s *testSite) addBackend(vars variables, list *instancelist.List, kind string, i int, options siteOptions) []string {
	name := fmt.Sprintf("%s-%d", kind, i)
	address := freeAddress()
	variable := strings.ToUpper(kind) + fmt.Sprint(i)
	args := []string{"standin", kind, "--name", name}
	weights := ""
	if kind == "engine" {
		address = strings.TrimPrefix(s.rankURLs[i-1], "http://")
		if options.rankGroup {
			args = append(args, "--rank", fmt.Sprint(i-1), "--rank-urls", strings.Join(s.rankURLs, ","), "--check-fencing=false")
			weights = vars.Getenv("WEIGHTS")
		}
	}
	vars.Setenv(variable, "http://"+address)
	s.register(name, append(args, "--listen", address)...)
	domain := fmt.Sprintf("domain-%d", (i-1)%3+1)
	as := settings.Agent{
		Name: "agent-" + name, FailureDomain: domain, Pool: poolOf(kind, i, options),
		DataAddress: freeAddress(), ControlAddress: freeAddress(), OperatorAddress: freeAddress(),
		LogURL: vars.Getenv("LOG"), Backend: settings.Backend{Kind: kind, URL: "http://" + address},
		ShutdownSeconds: options.shutdown, WeightsURL: weights,
	}
	vars.Setenv("AGENT_"+variable, "http://"+as.OperatorAddress)
	vars.Setenv("AGENT_"+variable+"_CONTROL", as.ControlAddress)
	vars.Setenv("AGENT_"+variable+"_OPADDR", as.OperatorAddress)
	s.mustWriteJSON(as.Name+".json", as)
	s.register(as.Name, "agent", "--settings", filepath.Join(s.dir, as.Name+".json"))
	data, control := as.DataAddress, as.ControlAddress
	if options.useRelays {
		data, control = s.addRelay(as.Name, data), s.addRelay(as.Name, control)
	}
	list.Instances = append(list.Instances, instancelist.Instance{
		Name: as.Name, Role: instancelist.Agent, State: instancelist.Live, FailureDomain: domain, Pool: as.Pool,
		DataAddress: data, ControlAddress: control,
	})
	return []string{name, as.Name}
}

// poolOf returns the pool of backend server i. With splitPools, every second one is in a second
// pool.
func poolOf(kind string, i int, options siteOptions) string {
	if options.splitPools && i%2 == 0 {
		return kind + "s-2"
	}
	return kind + "s"
}

// addEntry registers entry i and returns its name.
func (s *testSite) addEntry(vars variables, list *instancelist.List, i int, options siteOptions) string {
	es := settings.Entry{
		Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", (i-1)%3+1),
		CallerAddress: freeAddress(), PeerAddress: freeAddress(), OperatorAddress: freeAddress(),
		LogURL: vars.Getenv("LOG"), InstancesURL: vars.Getenv("LIST"),
		AddressLifetimeSeconds: options.addressLifetime, ShutdownSeconds: options.shutdown,
		MaxBodyBytes: maxTestBodyBytes, BodySeconds: 1,
		PlanSeconds: 1, PlannerLeaseSeconds: 4, LogRetentionSeconds: options.retentionSeconds,
	}
	variable := fmt.Sprintf("ENTRY%d", i)
	vars.Setenv(variable, "http://"+es.CallerAddress)
	vars.Setenv(variable+"_CALLER", es.CallerAddress)
	vars.Setenv(variable+"_OP", "http://"+es.OperatorAddress)
	vars.Setenv(variable+"_OPADDR", es.OperatorAddress)
	vars.Setenv(variable+"_ADDR", es.CallerAddress)
	s.mustWriteJSON(es.Name+".json", es)
	s.register(es.Name, "entry", "--settings", filepath.Join(s.dir, es.Name+".json"))
	list.Instances = append(list.Instances, instancelist.Instance{
		Name: es.Name, Role: instancelist.Entry, State: instancelist.Live, FailureDomain: es.FailureDomain,
		CallerAddress: es.CallerAddress, PeerAddress: es.PeerAddress,
	})
	return es.Name
}

// mustWriteJSON writes a file in the directory of the script.
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
	addressMu sync.Mutex
	// reservations holds a UDP socket on the port of each address that freeAddress has returned.
	reservations = make(map[string]net.PacketConn)
)

// freeAddress returns a free loopback address for a TCP port, and reserves it until the test process
// ends. The process that is to use it starts later, so a listener of another test process could take
// the port meanwhile: the UDP socket on the same port tells those that look for a free one.
func freeAddress() string {
	addressMu.Lock()
	defer addressMu.Unlock()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		reservation, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue // reserved by a script of this or another test process
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = l.Close()
		reservations[address] = reservation
		return address
	}
}

// TestAddressesAreReservedAcrossProcesses guards against two test processes that choose the same port: the
// process of one of them would answer the requests of the other.
func TestAddressesAreReservedAcrossProcesses(t *testing.T) {
	for range 20 {
		address := freeAddress()
		if c, err := net.ListenPacket("udp4", address); err == nil {
			_ = c.Close()
			t.Fatalf("%s is not reserved: another test process could choose it as well", address)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatalf("the process that is to use %s cannot: %v", address, err)
		}
		_ = l.Close()
	}
}

// Ports of the deployments. They are below the kernel's ephemeral port range, so that an outgoing
// connection cannot take a port before its process starts, and apart from those of the tests of
// platform/standin (20,000 to 25,999) and of the demo (26,000 to 32,767).
const (
	firstPort = 10_240
	portCount = 20_000 - firstPort
)

// relay is a TCP proxy whose connections can be cut.
type relay struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	cut      bool
	conns    []net.Conn
}

// addRelay starts a relay to target and returns its address.
func (s *testSite) addRelay(name, target string) string {
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
		go r.forward(c)
	}
}

func (r *relay) forward(c net.Conn) {
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

// setCut cuts or restores the relay. A cut closes the open connections and refuses new ones.
func (r *relay) setCut(cut bool) {
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
	r.setCut(true)
}
