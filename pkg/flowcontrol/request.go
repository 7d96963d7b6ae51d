package flowcontrol

import (
	"time"

	"github.com/fescuehub/fescuehub/pkg/tables"
)

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// NoCapacity means that no replica of the pool takes work.
	NoCapacity Reason = "no-capacity"
	// QueueFull means that the queue of the pool is full.
	QueueFull Reason = "queue-full"
	// OrganisationQueueFull means that the organisation's part of the queue is
	// full.
	OrganisationQueueFull Reason = "organisation-queue-full"
	// DeadlineUnreachable means that the answer would come too late.
	DeadlineUnreachable Reason = "deadline-unreachable"
	// Displaced means that a request of an organisation with a shorter queue
	// took the place of this one.
	Displaced Reason = "pushed-out"
	// ReplicasFull means that every replica tried refused the request, time and
	// again.
	ReplicasFull Reason = "replicas-full"
)

// Request is what flow control knows of a request.
type Request struct {
	Organisation string
	// Share is the weight of the organisation, at least 1.
	Share int
	Class tables.Class
	// Deadline is when the whole answer must have been sent.
	Deadline time.Time
}

// Refusal is the final answer to a request that was not admitted.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the caller may come back. Refusals of one overload
	// get different values.
	RetryAfter time.Duration
}

// Action is the decision on one ticket: admitted, or refused where Refusal is
// set.
type Action struct {
	Ticket  *Ticket
	Refusal *Refusal
}

// Result says how an admitted request ended.
type Result int

// The results of an admitted request.
const (
	// Served requests had a whole answer.
	Served Result = iota
	// Failed requests ended without a whole answer.
	Failed
)

// Ticket is one request in the controller.
type Ticket struct {
	request  Request
	flow     *flow
	arrived  time.Time
	admitted time.Time
	// charge is the slot time added to the flow at admission, in seconds.
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
	// QueueLimit bounds the waiting requests.
	QueueLimit int
	// AgingBound is how long a batch request waits before its class gets every
	// second admission.
	AgingBound time.Duration
	// BatchEvery bounds the run of interactive admissions while a batch request
	// waits: one admission in so many is batch. Zero stands for
	// DefaultBatchEvery.
	BatchEvery int
}

const (
	// DefaultAgingBound is used where Limits has none.
	DefaultAgingBound = 2 * time.Minute

	// DefaultBatchEvery is used where Limits has none.
	DefaultBatchEvery = 8

	// agedBatchEvery takes the place of BatchEvery past the aging bound.
	agedBatchEvery = 2

	// organisationPart is the part of the queue that one organisation may
	// fill, as a divisor.
	organisationPart = 2

	// safeDeviations above the mean service time must be left of a deadline,
	// after the predicted wait, for a request to be taken in.
	safeDeviations = 4

	// usefulDeviations above the mean must be left for a request to be worth a
	// slot.
	usefulDeviations = 1

	// minHold and maxHold bound the pause after a refusal by every replica.
	minHold = 20 * time.Millisecond
	maxHold = 500 * time.Millisecond

	// maxRequeues bounds how often a request waits again after every replica
	// tried had refused it.
	maxRequeues = 3

	// arrivalMargin multiplies the predicted wait of an arrival, so that few of
	// those taken in are given up later.
	arrivalMargin = 1.4

	// reassessMargin is the factor by which a predicted wait must exceed the
	// time left before a request that waits is given up.
	reassessMargin = 1.5
)
