package settings

import "time"

// Instance holds the settings of a process in a deployment where entries send
// requests directly to backend servers. A platform's adapter decodes them.
type Instance struct {
	// Name is the name of the instance, unique in the deployment.
	Name          string
	FailureDomain string
	// FailureDomains holds the names of all failure domains of the deployment; empty if the settings do not
	// list them.
	FailureDomains []string
	// IP is the instance's own address.
	IP string
	// CallerAddress, ReadyAddress and DirectoryAddress are the IP:port for
	// callers, readiness checks and address queries; empty on agents.
	CallerAddress    string
	ReadyAddress     string
	DirectoryAddress string
	// PeerPort is the port for other processes of fescuehub and MetricsPort the
	// port for metrics. PeerPort is the same on every instance.
	PeerPort    int
	MetricsPort int
	// BackendAddress is the IP:port of the backend server that an agent runs
	// alongside, and Service the service that it belongs to; empty on entries.
	BackendAddress string
	Service        string
	// SharedLogAddress is the IP:port of the shared log.
	SharedLogAddress string
	// MemoryBytes bounds the memory of the process.
	MemoryBytes int64
	// MaxDescriptors bounds the open descriptors of the process, of which ReservedDescriptors are not for its
	// connections; 0 if there is no bound.
	MaxDescriptors int
	// MaxEventBytes bounds one event of a stream; 0 stands for eventstream.DefaultMaxEventBytes.
	MaxEventBytes int
	Bounds        Bounds
}

// Bounds are the limits that the operators guarantee to their users.
type Bounds struct {
	// Drain is how long a backend server may still receive requests after it has
	// left.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// ConfigApply is the time within which a new configuration is in force.
	ConfigApply time.Duration
	// LeaveGrace is the time after an outage of the log within which announcements
	// that expired during it may be renewed.
	LeaveGrace time.Duration
	// RetryRatio, RetryFloor and RetryWindow bound the retries of a service,
	// summed over all entries: RetryRatio x requests + RetryFloor in each
	// RetryWindow.
	RetryRatio  float64
	RetryFloor  float64
	RetryWindow time.Duration
	// AddressLifetime is how long callers may cache an address answer.
	AddressLifetime time.Duration
	// Stall is how long work that depends on a failed rank may make no progress.
	Stall time.Duration
	// UncheckedFences is true unless the engines are known to refuse an order with a lower fence
	// than they have seen.
	UncheckedFences bool
	// ColdOverage and ColdSlack bound the requests at a cold backend server, summed over all entries: in any
	// second at most ColdOverage x the rate that its service states + ColdSlack. Both 0 stand for the rate alone.
	ColdOverage float64
	ColdSlack   float64
}
