package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// benchSite is a deployment of separate processes for benchmarks.
type benchSite struct {
	*testSite
	vars map[string]string
}

func (s *benchSite) Setenv(name, value string) { s.vars[name] = value }

func (s *benchSite) Getenv(name string) string { return s.vars[name] }

// newBenchSite starts a deployment in which each process has GOMAXPROCS=1, and publishes
// benchTables.
func newBenchSite(b *testing.B, options siteOptions) *benchSite {
	b.Helper()
	s := &benchSite{testSite: newSite(b.TempDir()), vars: make(map[string]string)}
	s.extraEnv = []string{"GOMAXPROCS=1"}
	b.Cleanup(s.stopAll)
	options.settingsOnly = true
	if err := s.build(s, options); err != nil {
		b.Fatal(err)
	}
	for i := 1; i <= options.engines; i++ {
		p := s.procs[fmt.Sprintf("engine-%d", i)]
		p.args = append(p.args, "--step", "1ms", "--prefill-per-word", "0", "--max-batch", "1024")
	}
	for name := range s.procs {
		if err := s.start(name); err != nil {
			b.Fatal(err)
		}
	}
	s.mustWriteJSON("tables.json", benchTables)
	s.awaitBody(b, s.vars["ENTRY1_OP"]+"/readyz", "")
	apply := exec.Command("fescuehub", "config", "apply", s.dir+"/tables.json", "--log", s.vars["LOG"], "--operator", s.vars["ENTRY1_OPADDR"])
	if out, err := apply.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	s.awaitBody(b, s.vars["ENTRY1_OP"]+"/v1/status", fmt.Sprintf(`"replicas":%d`, options.engines+options.services))
	return s
}

var benchTables = map[string]any{
	"routes": []map[string]any{{"name": "m", "pool": "engines"}},
	"pools":  []map[string]any{{"name": "engines", "kind": "model", "concurrency": 4096}},
}

func (s *benchSite) awaitBody(b *testing.B, url, text string) {
	b.Helper()
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		status, body, _, err := request(http.MethodGet, url, nil, "")
		if err == nil && status == http.StatusOK && strings.Contains(body, text) {
			return
		}
		time.Sleep(pollInterval)
	}
	b.Fatalf("no response of %s contains %q", url, text)
}

// metric returns the value of a metric of the process with the operator base URL.
func (s *benchSite) metric(b *testing.B, operator, name string) float64 {
	b.Helper()
	_, body, _, err := request(http.MethodGet, operator+"/metrics", nil, "")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(body) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return v
		}
	}
	b.Fatalf("the process exports no metric %s", name)
	return 0
}

// sendStream sends a streaming request and returns the times to the first event and to the end of
// the stream.
func sendStream(client *http.Client, url string, tokens int) (first, total time.Duration, err error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, tokens)
	start := time.Now()
	res, err := client.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		return 0, 0, err
	}
	defer res.Body.Close()
	reader := bufio.NewReader(res.Body)
	if _, err := reader.ReadString('\n'); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	remaining, err := io.ReadAll(reader)
	if err == nil && !bytes.Contains(remaining, []byte("[DONE]")) {
		err = fmt.Errorf("stream ended without [DONE]: %s", remaining)
	}
	return first, time.Since(start), err
}

func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
}

// BenchmarkAddedLatency pairs each request through the entry with one sent directly to the engine,
// and reports the difference in time to the first event.
func BenchmarkAddedLatency(b *testing.B) {
	s := newBenchSite(b, siteOptions{entries: 1, engines: 1, addressLifetime: 1, shutdown: 30})
	client := benchClient()
	var added []time.Duration
	for b.Loop() {
		direct, _, err := sendStream(client, s.vars["ENGINE1"], 4)
		if err != nil {
			b.Fatal(err)
		}
		viaEntry, _, err := sendStream(client, s.vars["ENTRY1"], 4)
		if err != nil {
			b.Fatal(err)
		}
		added = append(added, viaEntry-direct)
	}
	slices.Sort(added)
	b.ReportMetric(float64(added[len(added)/2].Microseconds()), "µs-median-added")
	b.ReportMetric(float64(added[len(added)*99/100].Microseconds()), "µs-p99-added")
}

// BenchmarkRelayThroughput reports the requests and tokens that one entry on one core relays, and
// the CPU time that the entry and the agents use for them.
func BenchmarkRelayThroughput(b *testing.B) {
	for _, tokens := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { benchRelay(b, tokens) })
	}
}

func benchRelay(b *testing.B, tokens int) {
	const callers = 64
	s := newBenchSite(b, siteOptions{entries: 1, engines: 4, addressLifetime: 1, shutdown: 30})
	client := benchClient()
	entryBefore := s.metric(b, s.vars["ENTRY1_OP"], "process_cpu_seconds_total")
	agentBefore := s.metric(b, s.vars["AGENT_ENGINE1"], "process_cpu_seconds_total")
	jobs := make(chan struct{})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range jobs {
				if _, _, err := sendStream(client, s.vars["ENTRY1"], tokens); err != nil {
					b.Error(err)
				}
			}
		})
	}
	start := time.Now()
	n := 0
	for b.Loop() {
		jobs <- struct{}{}
		n++
	}
	close(jobs)
	group.Wait()
	elapsed := time.Since(start).Seconds()
	cpu := s.metric(b, s.vars["ENTRY1_OP"], "process_cpu_seconds_total") - entryBefore
	agent := s.metric(b, s.vars["AGENT_ENGINE1"], "process_cpu_seconds_total") - agentBefore
	b.ReportMetric(float64(n)/elapsed, "requests/s")
	b.ReportMetric(float64(n*tokens)/elapsed, "tokens/s")
	b.ReportMetric(cpu/float64(n)*1e6, "entry-µs/request")
	b.ReportMetric(agent/float64(n)*4*1e6, "agent-µs/request")
	b.ReportMetric(s.metric(b, s.vars["ENTRY1_OP"], "process_resident_memory_bytes")/(1<<20), "entry-MB")
}

// BenchmarkIdleCost reports the CPU and memory that an entry and an agent use without requests.
func BenchmarkIdleCost(b *testing.B) {
	const window = 10 * time.Second
	for _, engines := range []int{2, 8, 24} {
		b.Run(fmt.Sprintf("replicas=%d", engines), func(b *testing.B) {
			s := newBenchSite(b, siteOptions{entries: 1, engines: engines, addressLifetime: 1, shutdown: 30})
			for b.Loop() {
				entry := s.metric(b, s.vars["ENTRY1_OP"], "process_cpu_seconds_total")
				agent := s.metric(b, s.vars["AGENT_ENGINE1"], "process_cpu_seconds_total")
				time.Sleep(window)
				entry = s.metric(b, s.vars["ENTRY1_OP"], "process_cpu_seconds_total") - entry
				agent = s.metric(b, s.vars["AGENT_ENGINE1"], "process_cpu_seconds_total") - agent
				b.ReportMetric(100*entry/window.Seconds(), "entry-%core")
				b.ReportMetric(100*agent/window.Seconds(), "agent-%core")
				b.ReportMetric(s.metric(b, s.vars["ENTRY1_OP"], "process_resident_memory_bytes")/(1<<20), "entry-MB")
				b.ReportMetric(s.metric(b, s.vars["AGENT_ENGINE1"], "process_resident_memory_bytes")/(1<<20), "agent-MB")
			}
		})
	}
}
