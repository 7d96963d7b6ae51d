package entry

import (
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/departure"
	"github.com/fescuehub/fescuehub/pkg/ident"
)

// listLag is how long the instance list may still show an entry as live after it has ended.
const listLag = time.Minute

// departures tracks which entries are draining, and is shared with the links to the other entries.
// It is safe for concurrent use.
type departures struct {
	mu      sync.Mutex
	tracker *departure.Tracker
}

func newDepartures() *departures { return &departures{tracker: departure.New()} }

// Merge implements entrylink.Departures.
func (d *departures) Merge(list []departure.Departure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Merge(time.Now(), list)
}

// MarkReturned implements entrylink.Departures.
func (d *departures) MarkReturned(entry string, incarnation ident.Incarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tracker.MarkReturned(entry, incarnation)
}

// List implements entrylink.Departures.
func (d *departures) List() []departure.Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.List(time.Now())
}

func (d *departures) leaving(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Leaving(time.Now(), name)
}

// announceDeparture announces to the other entries that this one is draining. They must keep the
// announcement until the instance list shows this entry as leaving.
func (e *Entry) announceDeparture() {
	e.departures.Merge([]departure.Departure{{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		RemainingMS: (e.shutdownBound() + listLag).Milliseconds(),
	}})
	e.mesh.Announce()
}
