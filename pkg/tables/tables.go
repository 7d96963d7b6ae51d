// Package tables defines the two tables that operators edit: routes and
// pools. A route joins its pool by name.
package tables

// Kind says what a pool's backend servers are.
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

// Route is a named way in for callers.
type Route struct {
	// Name of the route: the model name or the service name that callers use.
	Name string `json:"name"`
	// Pool is the name of the pool that serves the route.
	Pool string `json:"pool"`
	// Deadline bounds a request from its arrival to its last byte, in
	// milliseconds. Zero stands for DefaultDeadlineMS.
	DeadlineMS int `json:"deadlineMS,omitempty"`
	// Unrepeatable lists the methods whose calls run at most once. Only used
	// for service pools.
	Unrepeatable []string `json:"unrepeatable,omitempty"`
	// Organisations that may use the route. Empty admits every organisation.
	Organisations []Organisation `json:"organisations,omitempty"`
}

// Organisation is the part of a route that belongs to one organisation.
type Organisation struct {
	Name string `json:"name"`
	// Share is the weight of the organisation in the fair queue. Zero stands
	// for 1.
	Share int `json:"share,omitempty"`
	// Class is the priority class. Empty stands for Interactive.
	Class Class `json:"class,omitempty"`
}

// Pool is a named set of backend servers of one kind.
type Pool struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
	// Concurrency bounds the requests in flight at one backend server.
	Concurrency int `json:"concurrency"`
	// QueueLimit bounds the requests that wait for the pool at one entry.
	// Zero stands for DefaultQueueLimit.
	QueueLimit int `json:"queueLimit,omitempty"`
	// SkewWeight weighs step-time skew (1) against rebalancing cost (0).
	SkewWeight float64 `json:"skewWeight,omitempty"`
	// CheckFencing is true where the backend servers refuse orders that carry
	// an old fencing number.
	CheckFencing bool `json:"checkFencing,omitempty"`
}

// Bounds and defaults of the tables.
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

// FindOrganisation returns the organisation's part of the route. A route that lists no
// organisation admits every one with a share of 1.
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
