package settings

import "time"

// Instance is the settings of a process in a deployment where entries send
// requests straight to backend servers. A platform's adapter decodes them.
type Instance struct {
	// Name of the instance, unique in the deployment.
	Name          string
	FailureDomain string
	// IP is the instance's own address.
	IP string
	// CallerAddress, ReadyAddress and DirectoryAddress are the IP:port for
	// callers, readiness checks and address questions; empty on agents.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerPort is the port, the same on every instance, for the other processes
	// of fescuehub; MetricsPort is the one for metrics.
	PeerPort    int
	MetricsPort int
	// BackendAddress is the IP:port of the backend server beside an agent, and
	// Service the service that it belongs to; empty on entries.
	BackendAddress string
	Service        string
	// LogAddress is the IP:port of the shared log.
	LogAddress string
	// MemoryBytes bounds the memory of the process.
	MemoryBytes int64
	Bounds      Bounds
}

// Bounds are the times and figures that the operators promise their users.
type Bounds struct {
	// Drain is how long a backend server may get work after it left.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigApply is the time in which a configuration is in force.
	ConfigApply time.Duration
	// LeaveGrace is how long announcements that lapsed while the log was away
	// may take to come back.
	LeaveGrace time.Duration
	// RetryRatio, RetryFloor and RetryWindow bound the repeats of a service,
	// summed over all entries: RetryRatio x requests + RetryFloor in each
	// RetryWindow.
	RetryRatio  float64
	RetryFloor  float64
	RetryWindow time.Duration
	// AddressLifetime is how long callers keep an address answer at most.
	AddressLifetime time.Duration
	// Stall is how long work that depends on a dead rank stands still.
	Stall time.Duration
}
