package flowcontrol

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Reason is why a request was refused.
type Reason string

// The reasons for a refusal.
const (
	// NoCapacity means that no replica of the pool accepts work.
	NoCapacity Reason = "no-capacity"
	// QueueFull means that the queue of the pool is full.
	QueueFull Reason = "queue-full"
	// OrganisationQueueFull means that the organisation's requests of this class already fill the
	// part of the queue that one flow may use.
	OrganisationQueueFull Reason = "organisation-queue-full"
	// DeadlineUnreachable means that the request cannot be answered before its deadline.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// Displaced means that the queue was full and a request of an organisation with a shorter queue
	// replaced this one.
	Displaced Reason = "pushed-out"
	// ReplicasFull means that the replicas refused the request more than maxRequeues times.
	ReplicasFull Reason = "replicas-full"
)

// Request holds the properties of a request that decide on its admission.
type Request struct {
	Organisation string
	// Share is the weight of the organisation, at least 1.
	Share int
	Class tables.Class
	// Deadline is when the last byte of the response must have been sent.
	Deadline time.Time
}

// Refusal is the final decision on a request that is not admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the caller may retry. Refusals of one overload get
	// different values, so that the retries are spread.
	RetryAfter time.Duration
}

// Action is the decision on one ticket: admitted if Refusal is nil, otherwise refused.
type Action struct {
	Ticket  *Ticket
	Refusal *Refusal
}

// Result is how an admitted request ended.
type Result int

// The results of an admitted request.
const (
	// Served requests got a complete response.
	Served Result = iota
	// Failed requests ended without a complete response.
	Failed
)

// Ticket is one request in the controller. It is a node of the list of its flow while it waits.
type Ticket struct {
	request  Request
	flow     *flow
	arrived  time.Time
	admitted time.Time
	// charge is the estimated slot time charged to the flow at admission, in seconds.
	charge     float64
	state      ticketState
	requeues   int
	prev, next *Ticket
}

type ticketState int

const (
	waiting ticketState = iota
	running
	ended
)

// Limits bound the queue of a pool at one entry.
type Limits struct {
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// AgingBound is how long a batch request waits before its class gets every second admission
	// (agedBatchEvery).
	AgingBound time.Duration
	// BatchEvery is the interval of batch admissions while requests of both classes wait: one
	// admission in BatchEvery goes to the batch class. Zero selects DefaultBatchEvery.
	BatchEvery int
}

const (
	// DefaultAgingBound is used if Limits.AgingBound is not set.
	DefaultAgingBound = 2 * time.Minute

	// DefaultBatchEvery is used if Limits.BatchEvery is not set.
	DefaultBatchEvery = 8

	// agedBatchEvery replaces BatchEvery once the oldest batch request has waited for the aging
	// bound.
	agedBatchEvery = 2

	// organisationQueueDivisor limits one organisation to this fraction of the queue: 1/2.
	organisationQueueDivisor = 2

	// arrivalDeviations is the number of deviations above the mean service time that must remain
	// before the deadline, after the predicted wait, for a request to be queued.
	arrivalDeviations = 4

	// usefulDeviations is the number of deviations above the mean service time that must remain
	// before the deadline for a request to be admitted.
	usefulDeviations = 1

	// minPause and maxPause bound the pause of admissions after every replica refused a request.
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond

	// maxRequeues is how often a request is queued again after every replica that was tried refused
	// it.
	maxRequeues = 3

	// arrivalMargin multiplies the predicted wait of an arriving request, so that few of the queued
	// requests miss their deadlines later.
	arrivalMargin = 1.4

	// reassessMargin multiplies the time left of a waiting request: the request is refused once its
	// predicted wait exceeds the product.
	reassessMargin = 1.5
)
