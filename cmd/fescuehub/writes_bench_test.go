package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var writeTables = map[string]any{
	"routes": []map[string]any{
		{"name": "caja", "pool": "services", "unrepeatable": []string{"POST"}},
		{"name": "plain", "pool": "services"},
	},
	"pools": []map[string]any{{"name": "services", "kind": "service", "concurrency": 4096}},
}

// newWriteSite starts one entry, three services and a log that delays every response by slowMS.
func newWriteSite(b *testing.B, slowMS int) *benchSite {
	b.Helper()
	s := newBenchSite(b, siteOptions{entries: 1, services: 3, addressLifetime: 1, shutdown: 30})
	s.mustWriteJSON("writes.json", writeTables)
	apply := exec.Command("fescuehub", "config", "apply", s.dir+"/writes.json", "--log", s.vars["LOG"], "--operator", s.vars["ENTRY1_OPADDR"])
	if out, err := apply.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	for i := 1; i <= 3; i++ {
		s.awaitBody(b, s.vars[fmt.Sprintf("AGENT_SERVICE%d", i)]+"/v1/writes", `"ready":true`)
	}
	if status, body, _, err := request(http.MethodPut, s.vars["LOG"]+"/faults", nil, fmt.Sprintf(`{"slowMS":%d}`, slowMS)); err != nil || status != http.StatusOK {
		b.Fatal(err, body)
	}
	return s
}

// post sends a write and returns the time to the response.
func post(client *http.Client, url, key string) (time.Duration, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"sku":7}`))
	if err != nil {
		return 0, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", res.StatusCode)
	}
	return time.Since(start), nil
}

// BenchmarkWriteLatency compares four calls: one sent directly to the service, one on a route
// without unrepeatable calls, an unrepeatable one without a key (the entry attaches a permit), and
// an unrepeatable one with the caller's own key (which is claimed in the log).
func BenchmarkWriteLatency(b *testing.B) {
	for _, slowMS := range []int{0, 5, 20} {
		b.Run(fmt.Sprintf("log=%dms", slowMS), func(b *testing.B) {
			s := newWriteSite(b, slowMS)
			client := benchClient()
			times := make(map[string][]time.Duration)
			for b.Loop() {
				for _, c := range []struct{ name, url, key string }{
					{"direct", s.vars["SERVICE1"] + "/holds", ""},
					{"plain", s.vars["ENTRY1"] + "/services/plain/holds", ""},
					{"permit", s.vars["ENTRY1"] + "/services/caja/holds", ""},
					{"claim", s.vars["ENTRY1"] + "/services/caja/holds", newKeyAt(time.Now())},
				} {
					d, err := post(client, c.url, c.key)
					if err != nil {
						b.Fatal(c.name, err)
					}
					times[c.name] = append(times[c.name], d)
				}
				// The pause keeps the claims below the append rate limit of the agents.
				time.Sleep(100 * time.Millisecond)
			}
			for name, list := range times {
				slices.Sort(list)
				b.ReportMetric(float64(list[len(list)/2].Microseconds()), name+"-µs-median")
				b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), name+"-µs-p99")
			}
		})
	}
}

// metricsFlushTime is longer than the delay until a counter appears in the metrics.
const metricsFlushTime = 3 * time.Second

// sumAgentCounter sums a counter over the agents. An agent that has not incremented it does not
// export it and counts as 0.
func (s *benchSite) sumAgentCounter(b *testing.B, name string) float64 {
	total := 0.0
	for i := 1; i <= 3; i++ {
		_, body, _, err := request(http.MethodGet, s.vars[fmt.Sprintf("AGENT_SERVICE%d", i)]+"/metrics", nil, "")
		if err != nil {
			b.Fatal(err)
		}
		for line := range strings.Lines(body) {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				v, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
				total += v
			}
		}
	}
	return total
}

// BenchmarkClaimCost reports the log records and bytes that claims use at a given rate of writes
// with the callers' own keys.
func BenchmarkClaimCost(b *testing.B) {
	const window = 5 * time.Second
	for _, rate := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("writes/s=%d", rate), func(b *testing.B) {
			s := newWriteSite(b, 5)
			client := benchClient()
			for b.Loop() {
				var group sync.WaitGroup
				var mu sync.Mutex
				var times []time.Duration
				failed := 0
				for range rate * int(window.Seconds()) {
					time.Sleep(time.Second / time.Duration(rate))
					group.Go(func() {
						d, err := post(client, s.vars["ENTRY1"]+"/services/caja/holds", newKeyAt(time.Now()))
						mu.Lock()
						defer mu.Unlock()
						if err != nil {
							failed++
							return
						}
						times = append(times, d)
					})
				}
				group.Wait()
				slices.Sort(times)
				time.Sleep(metricsFlushTime)
				sum := func(name string) float64 { return s.sumAgentCounter(b, "fescuehub_agent_"+name) }
				claims := sum("claims_appended")
				b.ReportMetric(sum("claim_records_appended")/window.Seconds(), "appends/s")
				b.ReportMetric(claims/window.Seconds(), "claims/s")
				b.ReportMetric(sum("claim_bytes_appended")/claims, "appended-B/claim")
				b.ReportMetric(sum("claim_bytes_read")/3/window.Seconds(), "read-B/s-per-agent")
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "ms-median")
				b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "ms-p99")
				b.ReportMetric(float64(failed), "failed")
			}
		})
	}
}
