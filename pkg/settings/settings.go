// Package settings defines the settings of each process. They are JSON files,
// read at the start and checked before any socket is opened.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

// Entry holds the settings of an entry.
type Entry struct {
	// Name is the name of the instance, unique in the deployment.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the instance is in.
	FailureDomain string `json:"failureDomain"`
	// CallerAddress is the IP:port for callers.
	CallerAddress string `json:"callerAddress"`
	// PeerAddress is the IP:port for other entries.
	PeerAddress string `json:"peerAddress"`
	// OperatorAddress is the IP:port for health, metrics and status.
	OperatorAddress string `json:"operatorAddress"`
	// LogURL is the base URL of the log service.
	LogURL string `json:"logURL"`
	// InstancesURL is the base URL of the instance list.
	InstancesURL string `json:"instancesURL"`
	// AddressLifetimeSeconds is how long callers may cache an address answer.
	// 0 stands for DefaultAddressLifetimeSeconds.
	AddressLifetimeSeconds int `json:"addressLifetimeSeconds,omitempty"`
	// ShutdownSeconds bounds a graceful shutdown. 0 stands for
	// DefaultShutdownSeconds.
	ShutdownSeconds int `json:"shutdownSeconds,omitempty"`
	// MaxBodyBytes bounds the body of a request. 0 stands for
	// DefaultMaxBodyBytes.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// LogRetentionSeconds is how long the log service keeps a record. Snapshots
	// of the configuration are written eight times within it. 0 stands for
	// DefaultLogRetentionSeconds.
	LogRetentionSeconds int `json:"logRetentionSeconds,omitempty"`
	// BodySeconds bounds the time in which the body of a request must arrive.
	// 0 stands for DefaultBodySeconds.
	BodySeconds int `json:"bodySeconds,omitempty"`
	// PlanSeconds is the interval between plans of the expert maps. 0 stands for
	// DefaultPlanSeconds.
	PlanSeconds int `json:"planSeconds,omitempty"`
	// PlannerLeaseSeconds is the duration of the lease of the planner of expert
	// maps: another entry takes over when the lease has not been renewed for this
	// long. 0 stands for DefaultPlannerLeaseSeconds.
	PlannerLeaseSeconds int `json:"plannerLeaseSeconds,omitempty"`
	// WeightBytesPerSecond is the share of the weight store's bandwidth that one
	// group may use. 0 stands for DefaultWeightBytesPerSecond.
	WeightBytesPerSecond int `json:"weightBytesPerSecond,omitempty"`
}

// Backend holds an agent's settings of the backend server that it runs
// alongside.
type Backend struct {
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// URL is the base URL of the backend server.
	URL string `json:"url"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Name is the name of the instance, unique in the deployment.
	Name string `json:"name"`
	// FailureDomain is the failure domain that the instance is in.
	FailureDomain string `json:"failureDomain"`
	// Pool is the pool that the backend server belongs to.
	Pool string `json:"pool"`
	// DataAddress is the IP:port for attempts.
	DataAddress string `json:"dataAddress"`
	// ControlAddress is the IP:port for control by entries.
	ControlAddress string `json:"controlAddress"`
	// OperatorAddress is the IP:port for health, metrics and status.
	OperatorAddress string `json:"operatorAddress"`
	// LogURL is the base URL of the log service.
	LogURL string `json:"logURL"`
	// Backend is the backend server that the agent runs alongside.
	Backend Backend `json:"backend"`
	// WeightsURL is the base URL of the weight store. If it is empty, the agent
	// accepts no orders for expert maps.
	WeightsURL string `json:"weightsURL,omitempty"`
	// ShutdownSeconds bounds a graceful shutdown. 0 stands for
	// DefaultShutdownSeconds.
	ShutdownSeconds int `json:"shutdownSeconds,omitempty"`
}

// The kinds of backend server.
const (
	EngineBackend  = "engine"
	ServiceBackend = "service"
)

// Defaults and limits.
const (
	DefaultAddressLifetimeSeconds = 30
	MaxAddressLifetimeSeconds     = 3600
	DefaultShutdownSeconds        = 120
	MaxShutdownSeconds            = 3600
	DefaultMaxBodyBytes           = 4 << 20
	MaxMaxBodyBytes               = 64 << 20
	DefaultLogRetentionSeconds    = 24 * 3600
	MaxLogRetentionSeconds        = 366 * 24 * 3600
	DefaultBodySeconds            = 30
	MaxBodySeconds                = 600
	DefaultPlanSeconds            = 60
	MaxPlanSeconds                = 86_400
	DefaultPlannerLeaseSeconds    = 100
	MaxPlannerLeaseSeconds        = 3600
	DefaultWeightBytesPerSecond   = 1 << 30
	MaxWeightBytesPerSecond       = 1 << 40
)

// LoadEntry reads and checks the settings of an entry. The error has the kind
// BadSettings and lists every fault.
func LoadEntry(path string) (Entry, error) {
	var s Entry
	if err := load(path, &s); err != nil {
		return Entry{}, err
	}
	return s.withDefaults(), faultsError(path, s.check())
}

// LoadAgent reads and checks the settings of an agent. The error has the kind
// BadSettings and lists every fault.
func LoadAgent(path string) (Agent, error) {
	var s Agent
	if err := load(path, &s); err != nil {
		return Agent{}, err
	}
	return s.withDefaults(), faultsError(path, s.check())
}

func (s Entry) withDefaults() Entry {
	s.AddressLifetimeSeconds = orDefault(s.AddressLifetimeSeconds, DefaultAddressLifetimeSeconds)
	s.ShutdownSeconds = orDefault(s.ShutdownSeconds, DefaultShutdownSeconds)
	s.MaxBodyBytes = orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.LogRetentionSeconds = orDefault(s.LogRetentionSeconds, DefaultLogRetentionSeconds)
	s.BodySeconds = orDefault(s.BodySeconds, DefaultBodySeconds)
	s.PlanSeconds = orDefault(s.PlanSeconds, DefaultPlanSeconds)
	s.PlannerLeaseSeconds = orDefault(s.PlannerLeaseSeconds, DefaultPlannerLeaseSeconds)
	s.WeightBytesPerSecond = orDefault(s.WeightBytesPerSecond, DefaultWeightBytesPerSecond)
	return s
}

func (s Agent) withDefaults() Agent {
	s.ShutdownSeconds = orDefault(s.ShutdownSeconds, DefaultShutdownSeconds)
	return s
}

func (s Entry) check() []strictjson.Fault {
	var c checker
	c.notEmpty("name", s.Name)
	c.notEmpty("failureDomain", s.FailureDomain)
	c.address("callerAddress", s.CallerAddress)
	c.address("peerAddress", s.PeerAddress)
	c.address("operatorAddress", s.OperatorAddress)
	c.distinct([]string{"callerAddress", "peerAddress", "operatorAddress"}, []string{s.CallerAddress, s.PeerAddress, s.OperatorAddress})
	c.url("logURL", s.LogURL)
	c.url("instancesURL", s.InstancesURL)
	c.inRange("addressLifetimeSeconds", s.AddressLifetimeSeconds, MaxAddressLifetimeSeconds)
	c.inRange("shutdownSeconds", s.ShutdownSeconds, MaxShutdownSeconds)
	c.inRange("maxBodyBytes", s.MaxBodyBytes, MaxMaxBodyBytes)
	c.inRange("logRetentionSeconds", s.LogRetentionSeconds, MaxLogRetentionSeconds)
	c.inRange("bodySeconds", s.BodySeconds, MaxBodySeconds)
	c.inRange("weightBytesPerSecond", s.WeightBytesPerSecond, MaxWeightBytesPerSecond)
	c.inRange("planSeconds", s.PlanSeconds, MaxPlanSeconds)
	c.inRange("plannerLeaseSeconds", s.PlannerLeaseSeconds, MaxPlannerLeaseSeconds)
	return c.faults
}

func (s Agent) check() []strictjson.Fault {
	var c checker
	c.notEmpty("name", s.Name)
	c.notEmpty("failureDomain", s.FailureDomain)
	c.notEmpty("pool", s.Pool)
	c.address("dataAddress", s.DataAddress)
	c.address("controlAddress", s.ControlAddress)
	c.address("operatorAddress", s.OperatorAddress)
	c.distinct([]string{"dataAddress", "controlAddress", "operatorAddress"}, []string{s.DataAddress, s.ControlAddress, s.OperatorAddress})
	c.url("logURL", s.LogURL)
	c.url("backend.url", s.Backend.URL)
	if s.WeightsURL != "" {
		c.url("weightsURL", s.WeightsURL)
	}
	if s.Backend.Kind != EngineBackend && s.Backend.Kind != ServiceBackend {
		c.add("backend.kind", fmt.Sprintf("unknown kind %q", s.Backend.Kind), `write "engine" or "service"`)
	}
	c.inRange("shutdownSeconds", s.ShutdownSeconds, MaxShutdownSeconds)
	return c.faults
}

func load(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return problem.New(problem.BadSettings, "name a settings file that can be read", "%s: %v", path, err)
	}
	return faultsError(path, strictjson.Decode(data, into))
}

func faultsError(path string, faults []strictjson.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return problem.New(problem.BadSettings, "correct the file and start again", "%s:\n%s", path, strictjson.Join(faults))
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

// checker collects the faults of one settings file.
type checker struct {
	faults []strictjson.Fault
}

func (c *checker) add(place, detail, remedy string) {
	c.faults = append(c.faults, strictjson.Fault{Place: place, Detail: detail, Remedy: remedy})
}

func (c *checker) notEmpty(place, value string) {
	if value == "" {
		c.add(place, "it is missing", "write a name")
	}
}

func (c *checker) address(place, value string) {
	host, port, err := net.SplitHostPort(value)
	if err == nil && net.ParseIP(host) != nil && validPort(port) {
		return
	}
	c.add(place, fmt.Sprintf("%q is not an address", value), "write IP:port, such as 127.0.0.1:8080")
}

func (c *checker) distinct(places, values []string) {
	for i := range values {
		for j := range i {
			if values[i] == values[j] && values[i] != "" {
				c.add(places[i], "it is the same address as "+places[j], "give each its own port")
			}
		}
	}
}

func (c *checker) url(place, value string) {
	u, err := url.Parse(value)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return
	}
	c.add(place, fmt.Sprintf("%q is not a base URL", value), "write a URL such as http://127.0.0.1:9000")
}

func (c *checker) inRange(place string, value, high int) {
	if value < 0 || value > high {
		c.add(place, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("write a number from 1 to %d, or leave it out", high))
	}
}

func validPort(text string) bool {
	n, err := strconv.Atoi(text)
	return err == nil && n > 0 && n <= 65535
}
