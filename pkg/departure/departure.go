// Package departure remembers which entries are leaving, as they tell each
// other, so that no entry names one that leaves while the instance list lags.
// It has no clock of its own.
package departure

import (
	"slices"
	"strings"
	"time"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// MaxTracked bounds the departures that one entry remembers.
const MaxTracked = 1024

// Departure says that one life of an entry is leaving.
type Departure struct {
	Name        string            `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// RemainingMS is how long the departure is still to be remembered, in
	// milliseconds. It shrinks on the way.
	RemainingMS int64 `json:"leftMS"`
}

// Tracker is what one entry knows. It is not safe for concurrent use.
type Tracker struct {
	until map[ident.Incarnation]note
}

type note struct {
	name  string
	until time.Time
	// back is true once a later life of the entry has been heard of.
	back bool
}

// New returns an entry's knowledge of no departure.
func New() *Tracker { return &Tracker{until: make(map[ident.Incarnation]note)} }

// Merge takes departures and reports whether one of them is news.
func (k *Tracker) Merge(now time.Time, list []Departure) bool {
	k.forget(now)
	news := false
	for _, d := range list {
		_, known := k.until[d.Incarnation]
		if known || d.RemainingMS <= 0 || len(k.until) >= MaxTracked {
			continue
		}
		k.until[d.Incarnation] = note{name: d.Name, until: now.Add(time.Duration(d.RemainingMS) * time.Millisecond)}
		news = true
	}
	return news
}

// Leaving reports whether an entry of the name is leaving.
func (k *Tracker) Leaving(now time.Time, name string) bool {
	for _, n := range k.until {
		if n.name == name && !n.back && now.Before(n.until) {
			return true
		}
	}
	return false
}

// MarkReturned notes that the entry of the name serves again in another life.
func (k *Tracker) MarkReturned(name string, incarnation ident.Incarnation) {
	for old, n := range k.until {
		if n.name == name && old != incarnation {
			n.back = true
			k.until[old] = n
		}
	}
}

// List returns what to tell other entries, sorted by incarnation.
func (k *Tracker) List(now time.Time) []Departure {
	k.forget(now)
	out := make([]Departure, 0, len(k.until))
	for incarnation, n := range k.until {
		out = append(out, Departure{n.name, incarnation, n.until.Sub(now).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return out
}

func (k *Tracker) forget(now time.Time) {
	for incarnation, n := range k.until {
		if !now.Before(n.until) {
			delete(k.until, incarnation)
		}
	}
}
