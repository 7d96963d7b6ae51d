//go:build review

// Command rig runs the scripts of the review's cases from 9 on: stand-ins of the store, the replicas and the clients,
// and processes of the product.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: rig replica|case9|case10 ...")
		os.Exit(2)
	}
	switch os.Args[1] {
	case "replica":
		os.Exit(runReplica(os.Args[2:]))
	case "case9":
		os.Exit(runCase((*world).case9))
	case "case10":
		os.Exit(runCase((*world).case10))
	}
	os.Exit(2)
}

// runCase runs a case. The arguments are the program of the deploy file and the file of the record; TROUBLE=0 leaves
// the disruption out. The result is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func runCase(run func(*world) (bool, error)) int {
	if len(os.Args) != 4 {
		return 2
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{binary: os.Args[2], dir: dir, record: record, start: time.Now(), store: newStore(),
		ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 2+rand.IntN(250)), trouble: os.Getenv("TROUBLE") != "0"}
	defer w.endAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.endAll()
		_ = os.RemoveAll(dir)
		os.Exit(2)
	}()
	broken, err := run(w)
	switch {
	case err != nil:
		w.say("the case could not run: %v", err)
		return 2
	case broken:
		w.say("result: the rule was broken")
		return 1
	}
	w.say("result: the rule held")
	return 0
}

// world is the deployment of a case on loopback.
type world struct {
	binary, dir, ip string
	store           *store
	trouble         bool
	start           time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
}

// say writes a line to the record.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%7.3f "+format+"\n", append([]any{time.Since(w.start).Seconds()}, args...)...)
	_, _ = w.record.WriteString(line)
	fmt.Print(line)
}

// endAll kills the processes that were started.
func (w *world) endAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// run starts a process that ends with this one. Its lines go to each, or to a log file if each is nil.
func (w *world) run(log string, env []string, each func(line string), program string, args ...string) (*exec.Cmd, error) {
	c := exec.Command(program, args...)
	c.Env = append(os.Environ(), env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	file, err := os.Create(filepath.Join(w.dir, log))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	c.Stdout, c.Stderr = file, file
	if each != nil {
		c.Stdout = nil
		pipe, err := c.StdoutPipe()
		if err != nil {
			return nil, err
		}
		go func() {
			for lines := bufio.NewScanner(pipe); lines.Scan(); {
				each(lines.Text())
			}
		}()
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, c)
	w.mu.Unlock()
	return c, nil
}

// listen returns a free port at the address of the deployment.
func (w *world) listen() (net.Listener, error) { return net.Listen("tcp", w.ip+":0") }

func (w *world) freeAddress() (string, error) {
	l, err := w.listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// entry is an entry process of the product.
type entry struct {
	process                        *exec.Cmd
	settings, front, ready, lookup string
}

// startEntry serves the store and starts an entry with the settings of a small deployment.
func (w *world) startEntry() (*entry, error) {
	l, err := w.listen()
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, w.store) }()
	e := &entry{settings: filepath.Join(w.dir, "entry.json")}
	for _, to := range []*string{&e.front, &e.ready, &e.lookup} {
		if *to, err = w.freeAddress(); err != nil {
			return nil, err
		}
	}
	settings := map[string]any{
		"nodeName": "front-a-1", "role": "entry", "machineClass": "front", "serves": []string{"front", "directory"},
		"ip": w.ip, "zone": "a", "region": "r", "zones": map[string]string{"a": "r"},
		"listen":        map[string]string{"front": e.front, "ready": e.ready, "directory": e.lookup},
		"internalPorts": []int{7340, 7355}, "bootstrap": true, "heartbeatMs": 1200,
		"limits": map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"retryBudgetFloor": 94, "recoverS": 12, "passMs": 120, "stall_ms": 1500, "requireFencing": true, "ttl_max_s": 5},
		"platform": map[string]any{"address": l.Addr().String(), "form": "log", "ttlMinMs": 1000},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(e.settings, data, 0o600); err != nil {
		return nil, err
	}
	if err := w.startProcess(e); err != nil {
		return nil, err
	}
	// At later starts the system does not start for the first time.
	settings["bootstrap"] = false
	if data, err = json.Marshal(settings); err != nil {
		return nil, err
	}
	return e, os.WriteFile(e.settings, data, 0o600)
}

// runs reports whether the process of an entry has not ended by itself.
func (w *world) runs(e *entry) bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.process.Process.Pid))
	_, state, _ := strings.Cut(string(stat), ") ")
	return err == nil && !strings.HasPrefix(state, "Z")
}

// startProcess starts the process of an entry and waits until it is ready.
func (w *world) startProcess(e *entry) (err error) {
	e.process, err = w.run("entry.log", []string{"FESCUEHUB_BOOT=" + e.settings}, nil, w.binary, "site", "entry")
	if err != nil {
		return err
	}
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if res, err := http.Get("http://" + e.ready + "/-/ready"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				w.say("the entry is ready")
				return nil
			}
		}
	}
	return fmt.Errorf("the entry was not ready within 10 s")
}

const (
	tenantKey = "n2ctnfzs989anu6wsjnb"
	host      = "ficu95.example"
)

// streamRoute is a route of streams that may be resumed, safeRoute one of safe requests.
const (
	streamRoute = `{"name":"r-1","host":"` + host + `","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":"model","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"gapAimMs":120}`
	safeRoute   = `{"name":"r-3","host":"` + host + `","pathPrefix":"/cufi504/","kind":"safe","timeoutMs":800,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"allowAnonymous":false}`
	engine      = `"healthPath":"/health","maxConnections":358,"protocol":"h1","tls":false,"engine":{"slots":12,"kvCapacity":372000,"stride":5,"step_ms":5.85,"per_seq_ms":0.355,"context_per_k":0.036,"read_per_s":61200.0,"usual":{"prompt":835,"answer":139},"sets":4,"experts":72,"places":8,"spare":3,"expertMb":780.0,"linkMbps":180000.0,"expertShare":0.85,"form_ms":600.0}`
)

// putConfiguration writes a version of the operator's configuration.
func (w *world) putConfiguration(version int) {
	w.store.put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],
"services":[{"name":"model",%s},{"name":"desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"hule930","apiKeys":["%s"]}]}`, version, streamRoute+","+safeRoute, engine, tenantKey))
	w.say("store: configuration %d", version)
}

// server is a replica of the deployment.
type server struct {
	id, service, address string
	born                 int64
	sequence             int
	process              *exec.Cmd
}

// startServer starts a replica and registers it.
func (w *world) startServer(id, service string, args ...string) (*server, error) {
	address, err := w.freeAddress()
	if err != nil {
		return nil, err
	}
	return w.startServerAt(address, id, service, args...)
}

// startServerAt starts a replica at an address and registers it.
func (w *world) startServerAt(address, id, service string, args ...string) (*server, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, address: address, born: time.Now().UnixMilli()}
	listening := make(chan struct{})
	var once sync.Once
	s.process, err = w.run(id+".log", nil, func(line string) {
		once.Do(func() { close(listening) })
		w.say("replica: %s", line)
	}, self, append([]string{"replica", "-id", id, "-address", address}, args...)...)
	if err != nil {
		return nil, err
	}
	select {
	case <-listening:
	case <-time.After(5 * time.Second):
		return nil, fmt.Errorf("replica %s did not start", id)
	}
	w.announce(s, "ready")
	return s, nil
}

// announce writes the registration of a replica.
func (w *world) announce(s *server, state string) {
	s.sequence++
	data, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "zone": "a", "version": "v1", "slots": 12, "state": state,
		"coldRemainingMs": 0, "born": s.born, "sequence": s.sequence})
	w.store.put("keyed.servers", s.id, data)
	w.say("store: %s is %s", s.id, state)
}

// remove drops the registration of a replica.
func (w *world) remove(s *server) {
	w.store.put("keyed.servers", s.id, nil)
	w.say("store: %s is removed", s.id)
}
