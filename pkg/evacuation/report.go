package evacuation

import (
	"cmp"
	"slices"
	"unicode/utf8"

	"github.com/fescuehub/fescuehub/pkg/sharedlog"
)

const (
	// maxReportsBytes bounds the estimated size of the reports in one message, so that many records do not
	// fill a datagram. The usual few domains take about 30 bytes each.
	maxReportsBytes = 3 << 10
	// reportBytes and pastBytes estimate the encoded size of a report without its name, and of an earlier record.
	reportBytes, pastBytes = 24, 5
	// maxNameBytes is the longest name: keys of the shared log have at most 255 bytes.
	maxNameBytes = 255
)

// Report is the state of a domain as entries tell it each other.
type Report struct {
	Domain    string  `json:"d"`
	Evacuated bool    `json:"e,omitempty"`
	Timeline  int64   `json:"t,omitempty"`
	Next      int64   `json:"n"`
	Inherited bool    `json:"i,omitempty"`
	Past      []int64 `json:"p,omitempty"`
}

// Reports returns the states to tell other entries; nil if no domain has had a record. If they do not fit
// a message, the evacuated domains for which isKnown reports true come first.
func (t *Tracker) Reports(isKnown func(domain string) bool) []Report {
	if len(t.domains) == 0 {
		return nil
	}
	states := t.States()
	rank := func(s State) int {
		switch {
		case s.Evacuated && isKnown(s.Domain):
			return 0
		case isKnown(s.Domain):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(states, func(a, b State) int { return cmp.Compare(rank(a), rank(b)) })
	var reports []Report
	size := 0
	for _, s := range states {
		if size += reportBytes + len(s.Domain) + pastBytes*len(s.Past); size > maxReportsBytes {
			break
		}
		reports = append(reports, Report{
			Domain: s.Domain, Evacuated: s.Evacuated, Timeline: int64(s.Position.Timeline), Next: s.Position.Next, Inherited: s.Inherited, Past: s.Past,
		})
	}
	return reports
}

// state returns the state of a report, or false if it is malformed.
func (r Report) state() (State, bool) {
	position := sharedlog.Position{Timeline: sharedlog.Timeline(r.Timeline), Next: r.Next}
	if !ValidName(r.Domain) || r.Next < 0 || r.Timeline < 0 || position.Timeline > sharedlog.MaxTimeline || len(r.Past) > maxPast {
		return State{}, false
	}
	return State{Domain: r.Domain, Evacuated: r.Evacuated, Position: position, Inherited: r.Inherited, Past: slices.Clone(r.Past)}, true
}

// ValidName reports whether a text can be the name of a failure domain. Messages carry only valid UTF-8.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}
