package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/agent"
	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/httpserver"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/settings"
	engine "github.com/fescuehub/fescuehub/pkg/standin/engine"
	listing "github.com/fescuehub/fescuehub/pkg/standin/instancelist"
	"github.com/fescuehub/fescuehub/pkg/standin/logservice"
	"github.com/fescuehub/fescuehub/pkg/standin/plainservice"
)

const (
	entryCount   = 3
	engineCount  = 4
	serviceCount = 2

	stepTime         = 15 * time.Millisecond
	prefillPerWord   = time.Millisecond
	maxBatch         = 16
	cacheEntries     = 64
	appendsPerSecond = 400
	retention        = time.Hour
	shutdownTimeout  = time.Second
)

// site holds the processes and stand-ins of the demo.
type site struct {
	logURL        string
	listURL       string
	entries       []*entry.Entry
	entrySettings []settings.Entry
	agents        []*agent.Agent
	agentNames    []string
	engines       []*engine.Engine
	services      []*plainservice.Service
	servers       []*httpserver.Server
}

// newSite opens the listeners of the stand-ins and creates the entries and agents. run starts them.
func newSite(d Deployment, logs io.Writer) (*site, error) {
	s := &site{}
	var err error
	if s.logURL, err = s.addStandin(logservice.New(logservice.Options{AppendsPerSecond: appendsPerSecond, Retention: retention}).Handler()); err != nil {
		return nil, err
	}
	ports, err := freePorts(3 * (entryCount + engineCount + serviceCount))
	if err != nil {
		return nil, err
	}
	var instances []instancelist.Instance
	for i := range entryCount {
		es := settings.Entry{
			Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
			CallerAddress: ports.next(), PeerAddress: ports.next(), OperatorAddress: ports.next(),
			LogURL: s.logURL, AddressLifetimeSeconds: 1, ShutdownSeconds: 5, MaxBodyBytes: settings.DefaultMaxBodyBytes, BodySeconds: settings.DefaultBodySeconds,
		}
		s.entrySettings = append(s.entrySettings, es)
		instances = append(instances, instancelist.Instance{
			Name: es.Name, Role: instancelist.Entry, State: instancelist.Live, FailureDomain: es.FailureDomain,
			CallerAddress: es.CallerAddress, PeerAddress: es.PeerAddress,
		})
	}
	for i := range engineCount + serviceCount {
		as, err := s.newBackend(d, i)
		if err != nil {
			return nil, err
		}
		as.DataAddress, as.ControlAddress, as.OperatorAddress = ports.next(), ports.next(), ports.next()
		s.agents = append(s.agents, agent.Initialize(as, logs))
		s.agentNames = append(s.agentNames, as.Name)
		instances = append(instances, instancelist.Instance{
			Name: as.Name, Role: instancelist.Agent, State: instancelist.Live, FailureDomain: as.FailureDomain, Pool: as.Pool,
			DataAddress: as.DataAddress, ControlAddress: as.ControlAddress,
		})
	}
	if s.listURL, err = s.addStandin(listing.New(instances).Handler()); err != nil {
		return nil, err
	}
	for i := range s.entrySettings {
		s.entrySettings[i].InstancesURL = s.listURL
		s.entries = append(s.entries, entry.Initialize(s.entrySettings[i], logs))
	}
	return s, nil
}

// newBackend creates the stand-in of backend server i and returns the settings of its agent
// without the agent's addresses.
func (s *site) newBackend(d Deployment, i int) (settings.Agent, error) {
	as := settings.Agent{
		FailureDomain: d.FailureDomains[i%len(d.FailureDomains)], LogURL: s.logURL, ShutdownSeconds: 5,
	}
	var handler http.Handler
	if i < engineCount {
		as.Name = fmt.Sprintf("engine-%d", i+1)
		as.Pool = "engines"
		as.Backend.Kind = settings.EngineBackend
		e := engine.New(engine.Options{
			Name: as.Name, StepTime: stepTime, PrefillPerToken: prefillPerWord, MaxBatch: maxBatch,
			CacheEntries: cacheEntries, CheckFencing: true, CanResume: true,
		})
		s.engines = append(s.engines, e)
		handler = e.Handler()
	} else {
		as.Name = fmt.Sprintf("service-%d", i-engineCount+1)
		as.Pool = "services"
		as.Backend.Kind = settings.ServiceBackend
		service := plainservice.New(as.Name)
		s.services = append(s.services, service)
		handler = service.Handler()
	}
	var err error
	as.Backend.URL, err = s.addStandin(handler)
	return as, err
}

// addStandin opens a listener for a stand-in on a free port and returns its base URL. run serves it.
func (s *site) addStandin(handler http.Handler) (string, error) {
	listener, err := httpserver.Listen("demo address", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s.servers = append(s.servers, httpserver.New(listener, tally.NoopScope, handler))
	return "http://" + listener.Addr().String(), nil
}

// run runs the stand-ins, entries and agents until ctx is done.
func (s *site) run(ctx context.Context) error {
	var group errgroup.Group
	for _, server := range s.servers {
		group.Go(server.Run)
		group.Go(func() error {
			<-ctx.Done()
			shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			_ = server.Shutdown(shutdownCtx)
			return nil
		})
	}
	for _, e := range s.engines {
		group.Go(func() error { return e.Run(ctx) })
	}
	for _, e := range s.entries {
		group.Go(func() error { return e.Run(ctx) })
	}
	for _, a := range s.agents {
		group.Go(func() error { return a.Run(ctx) })
	}
	return group.Wait()
}

func (s *site) entryAddress(i int) string { return s.entrySettings[i].CallerAddress }

// awaitReady waits until every entry is ready and has links to all agents, and the agents of the
// services accept writes.
func (s *site) awaitReady(ctx context.Context) error {
	if err := s.awaitVersion(ctx, 1); err != nil {
		return err
	}
	return waitFor(ctx, "the entries and agents to become ready", func() bool {
		for _, a := range s.agents[engineCount:] {
			if !a.WritesReady() {
				return false
			}
		}
		for _, e := range s.entries {
			if e.ReplicaCount() < len(s.agents) {
				return false
			}
		}
		return true
	})
}

// awaitVersion waits until every entry has the version in force.
func (s *site) awaitVersion(ctx context.Context, version int64) error {
	return waitFor(ctx, "the configuration to be in force at every entry", func() bool {
		for _, es := range s.entrySettings {
			var status entry.Status
			if getJSON(ctx, "http://"+es.OperatorAddress+"/v1/status", &status) != nil || status.ConfigVersion < version || !status.Ready {
				return false
			}
		}
		return true
	})
}

// executions returns how often the services executed the write with the key.
func (s *site) executions(key string) int {
	n := 0
	for _, service := range s.services {
		for _, e := range service.Executions() {
			if e.Key == key {
				n += e.Count
			}
		}
	}
	return n
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(into)
}

// portList holds free addresses.
type portList struct{ addresses []string }

// next removes and returns the first address.
func (p *portList) next() string {
	a := p.addresses[0]
	p.addresses = p.addresses[1:]
	return a
}

// Ports of the demo. They are below the kernel's ephemeral port range, so that an outgoing
// connection cannot take a port before its process opens it.
const (
	firstPort       = 26_000
	portCount       = 32_768 - firstPort
	attemptsPerPort = 100
)

// freePorts finds n free ports on loopback. It tries random ports, up to attemptsPerPort for each.
func freePorts(n int) (*portList, error) {
	p := &portList{}
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	var lastErr error
	for range n * attemptsPerPort {
		if len(open) == n {
			return p, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		l, err := httpserver.Listen("demo address", address)
		if err != nil {
			lastErr = err
			continue
		}
		open = append(open, l)
		p.addresses = append(p.addresses, address)
	}
	return nil, lastErr
}
