// Package entrylink is the protocol between entries. Each entry holds
// connections to some others, over which they tell each other what
// configuration they have in force and fetch what they lack.
package entrylink

import (
	"github.com/fescuehub/fescuehub/pkg/configread"
	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Names of the methods. Both sides of a connection serve both.
const (
	// MethodHead tells what is in force: Announcement, answered by an
	// Announcement where it is a call.
	MethodHead = "head"
	// MethodFetch asks for what follows a state: configread.Fetch, answered by
	// configread.Fetched.
	MethodFetch = "fetch"
)

// Announcement says what an entry has in force.
type Announcement struct {
	Entry       string            `json:"entry"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Head        configread.Head   `json:"head"`
	// Leaving lists the entries that are known to be leaving.
	Leaving []departure.Departure `json:"leaving,omitempty"`
}
