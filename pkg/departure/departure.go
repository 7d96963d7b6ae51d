// Package departure tracks which entries are leaving. Entries announce their departures to each
// other, so that none gives callers the address of a leaving entry while the instance list lags.
// The package has no clock of its own.
package departure

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// MaxTracked limits the departures that one entry tracks.
const MaxTracked = 1024

// Departure announces that one incarnation of an entry is leaving.
type Departure struct {
	Name        string            `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// RemainingMS is how long the departure is still tracked, in milliseconds. Each entry passes
	// on the time that remains, so it decreases with every hop.
	RemainingMS int64 `json:"leftMS"`
}

// Tracker holds the departures known to one entry. It is not safe for concurrent use.
type Tracker struct {
	departures map[ident.Incarnation]record
}

type record struct {
	name  string
	until time.Time
	// returned is true once a later incarnation of the entry was seen.
	returned bool
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{departures: make(map[ident.Incarnation]record)} }

// Merge adds departures and reports whether one of them was not known before.
func (t *Tracker) Merge(now time.Time, list []Departure) bool {
	t.evictExpired(now)
	changed := false
	for _, d := range list {
		_, known := t.departures[d.Incarnation]
		if known || d.RemainingMS <= 0 || len(t.departures) >= MaxTracked {
			continue
		}
		t.departures[d.Incarnation] = record{name: d.Name, until: now.Add(time.Duration(d.RemainingMS) * time.Millisecond)}
		changed = true
	}
	return changed
}

// Leaving reports whether the entry with the name is leaving.
func (t *Tracker) Leaving(now time.Time, name string) bool {
	for _, r := range t.departures {
		if r.name == name && !r.returned && now.Before(r.until) {
			return true
		}
	}
	return false
}

// MarkReturned records that the entry with the name serves again as the given incarnation.
func (t *Tracker) MarkReturned(name string, incarnation ident.Incarnation) {
	for old, r := range t.departures {
		if r.name == name && old != incarnation {
			r.returned = true
			t.departures[old] = r
		}
	}
}

// List returns the departures to send to other entries, sorted by incarnation.
func (t *Tracker) List(now time.Time) []Departure {
	t.evictExpired(now)
	out := make([]Departure, 0, len(t.departures))
	for incarnation, r := range t.departures {
		out = append(out, Departure{r.name, incarnation, r.until.Sub(now).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return out
}

func (t *Tracker) evictExpired(now time.Time) {
	for incarnation, r := range t.departures {
		if !now.Before(r.until) {
			delete(t.departures, incarnation)
		}
	}
}
