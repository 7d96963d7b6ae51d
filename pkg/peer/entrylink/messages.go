// Package entrylink defines the protocol between entries and maintains their connections. Each
// entry is connected to some others. Over these connections entries announce the configuration that
// they have in force and the departures of entries, and fetch configuration that they lack.
package entrylink

import (
	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Names of the methods. Both ends of a connection serve them.
const (
	// MethodHead carries an Announcement. As a call it returns the Announcement of the peer; as a
	// notification it has no reply.
	MethodHead = "head"
	// MethodFetch asks for the configuration that follows a given state. It takes a
	// configread.FetchRequest and returns a configread.FetchResponse.
	MethodFetch = "fetch"
)

// Announcement describes the configuration that an entry has in force and the departures that it
// knows.
type Announcement struct {
	Entry       string            `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Head        configread.Head   `json:"head"`
	// Leaving lists the departures of entries that are known to the sender.
	Leaving []departure.Departure `json:"leaving,omitempty"`
}
