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

// MaxKept bounds the departures that one entry remembers.
const MaxKept = 1024

// Departure says that one life of an entry is leaving.
type Departure struct {
	Name        string            `json:"name"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// LeftMS is how long the departure is still to be remembered, in
	// milliseconds. It shrinks on the way.
	LeftMS int64 `json:"leftMS"`
}

// Known is what one entry knows. It is not safe for concurrent use.
type Known struct {
	until map[ident.Incarnation]note
}

type note struct {
	name  string
	until time.Time
	// back is true once a later life of the entry has been heard of.
	back bool
}

// New returns an entry's knowledge of no departure.
func New() *Known { return &Known{until: make(map[ident.Incarnation]note)} }

// Hear takes departures and reports whether one of them is news.
func (k *Known) Hear(now time.Time, list []Departure) bool {
	k.forget(now)
	news := false
	for _, d := range list {
		_, known := k.until[d.Incarnation]
		if known || d.LeftMS <= 0 || len(k.until) >= MaxKept {
			continue
		}
		k.until[d.Incarnation] = note{name: d.Name, until: now.Add(time.Duration(d.LeftMS) * time.Millisecond)}
		news = true
	}
	return news
}

// Leaving reports whether an entry of the name is leaving.
func (k *Known) Leaving(now time.Time, name string) bool {
	for _, n := range k.until {
		if n.name == name && !n.back && now.Before(n.until) {
			return true
		}
	}
	return false
}

// Back notes that the entry of the name serves again in another life.
func (k *Known) Back(name string, incarnation ident.Incarnation) {
	for old, n := range k.until {
		if n.name == name && old != incarnation {
			n.back = true
			k.until[old] = n
		}
	}
}

// List returns what to tell other entries, sorted by incarnation.
func (k *Known) List(now time.Time) []Departure {
	k.forget(now)
	out := make([]Departure, 0, len(k.until))
	for incarnation, n := range k.until {
		out = append(out, Departure{n.name, incarnation, n.until.Sub(now).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	return out
}

func (k *Known) forget(now time.Time) {
	for incarnation, n := range k.until {
		if !now.Before(n.until) {
			delete(k.until, incarnation)
		}
	}
}
