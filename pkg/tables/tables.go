// Package tables defines the two tables that operators edit: routes and
// pools. A route refers to its pool by name.
package tables

// Kind is the kind of a pool's backend servers.
type Kind string

// The kinds of pool.
const (
	// Model pools hold engines that answer chat completions.
	Model Kind = "model"
	// Service pools hold plain services.
	Service Kind = "service"
)

// Class is the priority class of an organisation's requests.
type Class string

// The priority classes, most urgent first.
const (
	Interactive Class = "interactive"
	Batch       Class = "batch"
)

// Route is a name under which callers reach a pool.
type Route struct {
	// Name is the model name or the service name that callers use.
	Name string `json:"name"`
	// Pool is the name of the pool that serves the route.
	Pool string `json:"pool"`
	// DeadlineMS bounds the time from the arrival of a request to the last byte
	// of its response, in milliseconds. Zero means DefaultDeadlineMS.
	DeadlineMS int `json:"deadlineMS,omitempty"`
	// Unrepeatable lists the HTTP methods whose calls run at most once. It is
	// used for service pools only.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
	// Organisations may use the route. An empty list admits all organisations.
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Organisation holds the settings of one organisation on a route.
type Organisation struct {
	Name string `json:"name"`
	// Share is the weight of the organisation in the fair queue. Zero means 1.
	Share int `json:"share,omitempty"`
	// Class is the priority class. Empty means Interactive.
	Class Class `json:"class,omitempty"`
}

// Pool is a named set of backend servers of one kind.
type Pool struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Concurrency bounds the requests in flight at one backend server.
	Concurrency int `json:"concurrency"`
	// QueueLimit bounds the requests queued for the pool at one entry. Zero means
	// DefaultQueueLimit.
	QueueLimit int `json:"queueLimit,omitempty"`
	// SkewWeight weighs step-time skew against rebalancing cost, from 0 (cost
	// only) to 1 (skew only).
	SkewWeight float64 `json:"skewWeight,omitempty"`
	// CheckFencing is true if the backend servers refuse orders with an outdated
	// fencing number.
	CheckFencing bool `json:"checkFencing,omitempty"`
}

// Limits and defaults of the tables.
const (
	DefaultDeadlineMS  = 60_000
	MaxDeadlineMS      = 3_600_000
	DefaultQueueLimit  = 256
	MaxConcurrency     = 4096
	MaxOrganisations   = 10_000
	MaxNameLengthBytes = 64
)

// Deadline returns the deadline of the route in milliseconds.
func (r Route) Deadline() int {
	if r.DeadlineMS == 0 {
		return DefaultDeadlineMS
	}
	return r.DeadlineMS
}

// RunsAtMostOnce reports whether calls of the method are unrepeatable.
func (r Route) RunsAtMostOnce(method string) bool {
	for _, m := range r.Unrepeatable {
		if m == method {
			return true
		}
	}
	return false
}

// FindOrganisation returns the settings of an organisation on the route, or
// false if the route does not admit it. A route that lists no organisations
// admits all of them, with a share of 1 and the class Interactive.
func (r Route) FindOrganisation(organisation string) (Organisation, bool) {
	if len(r.Organisations) == 0 {
		return Organisation{Name: organisation, Share: 1, Class: Interactive}, true
	}
	for _, o := range r.Organisations {
		if o.Name == organisation {
			return o.withDefaults(), true
		}
	}
	return Organisation{}, false
}

func (o Organisation) withDefaults() Organisation {
	if o.Share == 0 {
		o.Share = 1
	}
	if o.Class == "" {
		o.Class = Interactive
	}
	return o
}
