//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/fescuehub/fescuehub/platform/standin"
)

const (
	host   = "shop.example"
	apiKey = "key-1"
	// heartbeat is the heartbeatMs of the settings.
	heartbeat = 1200 * time.Millisecond
)

// site is a small deployment on loopback addresses: the store in this process, replicas and entries as processes.
type site struct {
	// dir is a temporary folder, and folder that of the case.
	dir, folder string
	trouble     bool
	subnet      string
	store       *standin.Store
	storeServer *http.Server
	storeAddr   string
	stop        chan struct{}
	all         sync.WaitGroup

	mu       sync.Mutex
	record   *os.File
	began    time.Time
	commands []*exec.Cmd
	replicas []*announced
}

// announced is a replica with what it says of itself in the store.
type announced struct {
	id, service, address, state string
	born                        int64
	sequence                    int
	gone                        bool
	cmd                         *exec.Cmd
	stdin                       io.Closer
}

func newSite(folder string, trouble bool) (*site, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &site{dir: dir, folder: folder, trouble: trouble, record: record, began: time.Now(), store: standin.NewStore(), stop: make(chan struct{}),
		subnet: fmt.Sprintf("127.%d.%d.", 64+pid/250%128, 1+pid%250)}
	s.store.StateEra("") // no page names an era
	listener, err := net.Listen("tcp", s.subnet+"1:0")
	if err != nil {
		return s, err
	}
	s.storeAddr = listener.Addr().String()
	s.storeServer = &http.Server{Handler: s.store}
	go func() { _ = s.storeServer.Serve(listener) }() // ends with close
	s.all.Go(s.announceAll)
	return s, nil
}

// note writes a line to record.txt.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%7.3f s  "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// announceAll repeats the announcements of the replicas.
func (s *site) announceAll() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
		s.mu.Lock()
		for _, r := range s.replicas {
			if !r.gone {
				s.put(r)
			}
		}
		s.mu.Unlock()
	}
}

// put writes a replica's announcement. s.mu is held.
func (s *site) put(r *announced) {
	r.sequence++
	data, _ := json.Marshal(map[string]any{ // plain values always encode
		"service": r.service, "address": r.address, "zone": "zone-a", "version": 1, "slots": 12, "state": r.state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.born,
	})
	s.store.Put("keyed.servers", r.id, data)
}

// announce sets and writes the state that a replica announces.
func (s *site) announce(r *announced, state string) {
	s.mu.Lock()
	r.state = state
	s.put(r)
	s.mu.Unlock()
	s.note("the store has accepted: %s is %s", r.id, state)
}

// remove removes a replica's entry from the store.
func (s *site) remove(r *announced) {
	s.mu.Lock()
	r.gone = true
	s.store.Put("keyed.servers", r.id, nil)
	s.mu.Unlock()
	s.note("the entry of %s is removed from the store", r.id)
}

// startReplica starts a replica and announces it as ready.
func (s *site) startReplica(id, service, address string, args ...string) (*announced, error) {
	if address == "" {
		free, err := net.Listen("tcp", s.subnet+"1:0")
		if err != nil {
			return nil, err
		}
		address = free.Addr().String()
		_ = free.Close() // the replica opens it
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"replica", "-id", id, "-address", address, "-log", s.replicaLog()}, args...)...)
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := s.start(cmd, "replica-"+id); err != nil {
		return nil, err
	}
	if err := waitFor(5*time.Second, func() bool {
		nc, err := net.Dial("tcp", address)
		if err == nil {
			_ = nc.Close()
		}
		return err == nil
	}); err != nil {
		return nil, fmt.Errorf("replica %s: %w", id, err)
	}
	r := &announced{id: id, service: service, address: address, born: time.Now().UnixMilli(), cmd: cmd, stdin: stdin}
	s.mu.Lock()
	s.replicas = append(s.replicas, r)
	s.mu.Unlock()
	s.note("replica %s of %s listens at %s", id, service, address)
	s.announce(r, "ready")
	return r, nil
}

func (s *site) replicaLog() string { return filepath.Join(s.dir, "replicas.log") }

// start starts a process with its output in a file.
func (s *site) start(cmd *exec.Cmd, name string) error {
	out, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := cmd.Start(); err != nil {
		return err
	}
	s.mu.Lock()
	s.commands = append(s.commands, cmd)
	s.mu.Unlock()
	go func() { _ = cmd.Wait() }() // its end is seen on its sockets
	return nil
}

// entry is an entry process.
type entry struct {
	front, ready string
	cmd          *exec.Cmd
}

// startEntry starts an entry with the command of the deploy file and waits until it is ready.
func (s *site) startEntry(n int) (*entry, error) {
	ip := fmt.Sprintf("%s%d", s.subnet, 10+n)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	settings := map[string]any{
		"nodeName": fmt.Sprintf("front-%d", n), "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": ip, "zone": "zone-a", "region": "region-a", "zones": map[string]string{"zone-a": "region-a"},
		"listen":        map[string]string{"front": at(8227), "ready": at(8220), "directory": at(8224)},
		"internalPorts": []int{7340, 7355}, "seeds": []string{}, "bootstrap": true, "countsAsLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "directory", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "strictRevoke": false, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetFloor": 94, "recoverS": 12, "passMs": 120, "againS": 0,
			"stall_ms": 1500, "requireFencing": true, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": s.storeAddr, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 24, "appendMs": 1.0, "partitionMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.dir, fmt.Sprintf("front-%d.json", n))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("target/fescuehub", "site", "entry")
	cmd.Env = []string{"FESCUEHUB_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := s.start(cmd, fmt.Sprintf("front-%d", n)); err != nil {
		return nil, err
	}
	e := &entry{front: at(8227), ready: at(8220), cmd: cmd}
	err = waitFor(10*time.Second, func() bool {
		res, err := http.Get("http://" + e.ready + "/-/ready")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	if err != nil {
		return nil, fmt.Errorf("entry %d is not ready: %w", n, err)
	}
	s.note("entry %d is ready", n)
	return e, nil
}

// configure publishes a configuration with routes, which are written as JSON, and services.
func (s *site) configure(version int, routes, services string) {
	s.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[%s],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"tenant-1","apiKeys":["%s"]}]}`, version, routes, services, apiKey))
	s.note("the store has accepted configuration %d", version)
}

// signal sends a signal to a process that this program started.
func (s *site) signal(cmd *exec.Cmd, name string, sig syscall.Signal) {
	s.note("%s gets signal %v", name, sig)
	if err := cmd.Process.Signal(sig); err != nil {
		s.note("the signal could not be sent: %v", err)
	}
}

// close ends all processes and adds what the replicas ran to record.txt.
func (s *site) close() {
	close(s.stop)
	s.all.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.commands {
		_ = cmd.Process.Signal(syscall.SIGCONT) // an ended process needs none
		_ = cmd.Process.Kill()
	}
	if s.storeServer != nil {
		_ = s.storeServer.Close()
	}
	if log, err := os.ReadFile(s.replicaLog()); err == nil {
		fmt.Fprintf(s.record, "\nWhat the replicas ran and sent:\n%s", log)
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func waitFor(limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}
