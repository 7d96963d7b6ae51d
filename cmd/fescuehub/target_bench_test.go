package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/measure/counted"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	"github.com/fescuehub/fescuehub/pkg/settings"
	listing "github.com/fescuehub/fescuehub/pkg/standin/instancelist"
	"github.com/fescuehub/fescuehub/pkg/standin/logservice"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

const (
	targetEntries       = 410
	targetAgents        = 12_000
	targetOrganisations = 4_900
	targetPools         = 13
	// targetChanges edits are applied within targetWindow, at 20,000 a day or 0.23 a second.
	targetChanges = 5
	targetWindow  = 22 * time.Second
	// targetSettle is the wait after the first publication of the tables.
	targetSettle = 45 * time.Second
)

// targetSite holds the peers of one entry process in a deployment of a given percentage of the
// target size: the stand-ins of the platform and the control ports of all agents. It counts the
// bytes transferred on the control links and with the instance list and the log.
type targetSite struct {
	*benchSite
	linkBytes, listBytes, logBytes atomic.Int64
}

// BenchmarkEntryAtTargetSize runs one entry process against the instance list, the tables and the
// control links of a percentage of the target size, and reports the CPU, memory and traffic of its
// control work without requests.
func BenchmarkEntryAtTargetSize(b *testing.B) {
	for _, percent := range []int{10, 33, 100} {
		b.Run(fmt.Sprintf("percent=%d", percent), func(b *testing.B) { benchTarget(b, percent) })
	}
}

func benchTarget(b *testing.B, percent int) {
	s := &targetSite{benchSite: &benchSite{testSite: newSite(b.TempDir()), vars: make(map[string]string)}}
	b.Cleanup(s.stopAll)
	log := logservice.New(logservice.Options{AppendsPerSecond: 400, Retention: time.Hour}).Handler()
	logURL := s.serve(b, log, &s.logBytes)
	// Operators use a separate address of the log, whose traffic is not counted.
	operatorLogURL := s.serve(b, log, new(atomic.Int64))
	agents := s.agents(b, targetAgents*percent/100)
	listURL := s.serve(b, listing.New(append(agents, peerEntries(targetEntries*percent/100)...)).Handler(), &s.listBytes)
	entry := settings.Entry{
		Name: "entry-0", FailureDomain: "domain-0", CallerAddress: freeAddress(), PeerAddress: freeAddress(), OperatorAddress: freeAddress(),
		LogURL: logURL, InstancesURL: listURL,
	}
	s.mustWriteJSON("entry.json", entry)
	s.register("entry", "entry", "--settings", s.dir+"/entry.json")
	if err := s.start("entry"); err != nil {
		b.Fatal(err)
	}
	operator := "http://" + entry.OperatorAddress
	s.awaitBody(b, operator+"/readyz", "")
	s.apply(b, operatorLogURL, entry.OperatorAddress, percent, 1)
	time.Sleep(targetSettle)
	// The first change after a large edit reads that edit again, so it is applied before the
	// measurement.
	s.apply(b, operatorLogURL, entry.OperatorAddress, percent, 2)
	time.Sleep(time.Second)
	for b.Loop() {
		start := time.Now()
		cpu := s.metric(b, operator, "process_cpu_seconds_total")
		linkBytes, listBytes, logBytes := s.linkBytes.Load(), s.listBytes.Load(), s.logBytes.Load()
		for i := range targetChanges {
			time.Sleep(targetWindow / targetChanges)
			s.apply(b, operatorLogURL, entry.OperatorAddress, percent, 3+i)
		}
		seconds := time.Since(start).Seconds()
		b.ReportMetric(100*(s.metric(b, operator, "process_cpu_seconds_total")-cpu)/seconds, "%core")
		b.ReportMetric(s.metric(b, operator, "process_resident_memory_bytes")/(1<<20), "MB")
		b.ReportMetric(float64(s.linkBytes.Load()-linkBytes)/seconds, "link-B/s")
		b.ReportMetric(float64(s.listBytes.Load()-listBytes)/seconds, "list-B/s")
		b.ReportMetric(float64(s.logBytes.Load()-logBytes)/seconds, "log-B/s")
		var status struct{ Replicas int }
		_, body, _, _ := request(http.MethodGet, operator+"/v1/status", nil, "")
		_ = json.Unmarshal([]byte(body), &status)
		b.ReportMetric(float64(status.Replicas), "links")
	}
}

// serve runs a stand-in in this process, adds its traffic to bytes, and returns its base URL.
func (s *targetSite) serve(b *testing.B, handler http.Handler, bytes *atomic.Int64) string {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(counted.New(l, bytes)) }()
	b.Cleanup(func() { _ = server.Close() })
	return "http://" + l.Addr().String()
}

// agents opens the control ports of n agents and returns their instance list rows.
func (s *targetSite) agents(b *testing.B, n int) []instancelist.Instance {
	const portsPerAddress = 2000
	ctx, stop := context.WithCancel(context.Background())
	b.Cleanup(stop)
	rows := make([]instancelist.Instance, n)
	for i := range n {
		address := fmt.Sprintf("127.0.%d.1:%d", 1+i/portsPerAddress, firstPort+i%portsPerAddress)
		l, err := net.Listen("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		row := instancelist.Instance{
			Name: fmt.Sprintf("agent-%05d", i), Role: instancelist.Agent, State: instancelist.Live,
			FailureDomain: fmt.Sprintf("domain-%d", i%16), Pool: fmt.Sprintf("pool-%d", i%targetPools),
			DataAddress: fmt.Sprintf("127.0.%d.2:%d", 1+i/portsPerAddress, firstPort+i%portsPerAddress), ControlAddress: address,
		}
		rows[i] = row
		server := rpc.NewServer(counted.New(l, &s.linkBytes), tally.NoopScope, agentMethods(ctx, row))
		go func() { _ = server.Run(ctx) }()
	}
	return rows
}

// agentMethods implements the control methods of the agent of an idle engine.
func agentMethods(ctx context.Context, row instancelist.Instance) rpc.Methods {
	return rpc.Methods{
		agentlink.MethodHello: rpc.Typed(func(_ context.Context, conn *rpc.Conn, hello agentlink.Hello) (any, error) {
			go heartbeat(ctx, conn, time.Duration(hello.HeartbeatMS)*time.Millisecond)
			return agentlink.Status{Name: row.Name, Incarnation: ident.Incarnation(row.Name + "@1"), Pool: row.Pool, BackendUp: true, ConfigOffset: -1}, nil
		}),
		agentlink.MethodConfigure: rpc.Typed(func(_ context.Context, _ *rpc.Conn, part agentlink.PoolConfig) (any, error) {
			return agentlink.PoolConfig{Offset: part.Offset}, nil
		}),
	}
}

func heartbeat(ctx context.Context, conn *rpc.Conn, every time.Duration) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-conn.Done():
			return
		case <-time.After(every):
			_ = conn.Notify(ctx, agentlink.MethodHeartbeat, agentlink.Heartbeat{Running: 3, StepMS: 14.2})
		}
	}
}

func peerEntries(n int) []instancelist.Instance {
	rows := make([]instancelist.Instance, n)
	for i := range n {
		rows[i] = instancelist.Instance{
			Name: fmt.Sprintf("entry-%d", i), Role: instancelist.Entry, State: instancelist.Live,
			FailureDomain: fmt.Sprintf("domain-%d", i%16), CallerAddress: fmt.Sprintf("127.0.9.%d:%d", 1+i/250, 1000+i%250),
		}
	}
	return rows
}

// apply publishes the tables of a percentage of the target size. Each revision changes the share
// of one organisation in each route.
func (s *targetSite) apply(b *testing.B, logURL, operator string, percent, revision int) {
	var doc tables.Document
	for p := range targetPools {
		pool := fmt.Sprintf("pool-%d", p)
		doc.Pools = append(doc.Pools, tables.Pool{Name: pool, Kind: tables.Model, Concurrency: 16})
		route := tables.Route{Name: fmt.Sprintf("model-%d", p), Pool: pool}
		for o := range targetOrganisations * percent / 100 {
			route.Organisations = append(route.Organisations, tables.Organisation{Name: fmt.Sprintf("organisation-%d", o), Share: 1 + o%4})
		}
		route.Organisations[0].Share = revision
		doc.Routes = append(doc.Routes, route)
	}
	s.mustWriteJSON("target.json", doc)
	out, err := exec.Command("fescuehub", "config", "apply", s.dir+"/target.json", "--log", logURL, "--operator", operator).CombinedOutput()
	if err != nil {
		b.Fatalf("%v: %s", err, out)
	}
}
