package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Row is one objective of a service, or of an organisation at a service.
type Row struct {
	Key
	State State `json:"state"`
	// Good is the part of the events within the objective over 6 h, and Target
	// what it must be.
	Good   float64 `json:"good"`
	Target float64 `json:"target"`
	// BurnRates holds the burn rates over 5 min, 1 h and 6 h.
	BurnRates [windowCount]float64 `json:"burn"`
	Events    int64                `json:"events"`
	History   []Count              `json:"history,omitempty"`
}

// Report is the service-level burn over all entries.
type Report struct {
	At       time.Time `json:"at"`
	Entries  []string  `json:"entries"`
	State    State     `json:"state"`
	Services []Row     `json:"services"`
	// Organisations are those whose budget burns fastest over an hour.
	Organisations []Row `json:"organisations"`
}

// NewReport adds the snapshots of the entries. It lists at most so many
// organisations.
func NewReport(now time.Time, snapshots []Snapshot, organisations int) Report {
	merged := make(map[Key]*Series)
	report := Report{At: now, State: NoData}
	for _, s := range snapshots {
		report.Entries = append(report.Entries, s.Entry)
		for _, row := range s.Series {
			merge(merged, row)
		}
	}
	var list []Series
	for _, s := range merged {
		list = append(list, *s)
	}
	sortSeries(list)
	for _, s := range list {
		row := rowOf(s)
		if s.Organisation != "" {
			report.Organisations = append(report.Organisations, row)
			continue
		}
		report.Services = append(report.Services, row)
		report.State = worse(report.State, row.State)
	}
	slices.SortStableFunc(report.Organisations, func(a, b Row) int { return cmp.Compare(b.BurnRates[1], a.BurnRates[1]) })
	report.Organisations = report.Organisations[:min(organisations, len(report.Organisations))]
	return report
}

func merge(into map[Key]*Series, row Series) {
	s, ok := into[row.Key]
	if !ok {
		s = &Series{Key: row.Key}
		into[row.Key] = s
	}
	for i := range s.Windows {
		s.Windows[i].Add(row.Windows[i])
	}
	if len(row.History) != historySteps {
		return
	}
	if s.History == nil {
		s.History = make([]Count, historySteps)
	}
	for i := range s.History {
		s.History[i].Add(row.History[i])
	}
}

func rowOf(s Series) Row {
	target := s.Objective.Target()
	long := s.Windows[windowCount-1]
	row := Row{Key: s.Key, State: Grade(s.Windows, target), Target: target, Events: long.Total, History: s.History}
	if long.Total > 0 {
		row.Good = float64(long.Good) / float64(long.Total)
	}
	for i, c := range s.Windows {
		row.BurnRates[i] = c.BurnRate(target)
	}
	return row
}

// worse returns the worse of two states.
func worse(a, b State) State {
	order := []State{Urgent, Burning, OK, NoData}
	if slices.Index(order, b) < slices.Index(order, a) {
		return b
	}
	return a
}

// Write prints the report as text.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "service-level burn: %s, %d entries, %s\n", r.State, len(r.Entries), r.At.UTC().Format(time.RFC3339))
	writeRows(w, "service", r.Services, func(row Row) string { return row.Service })
	if len(r.Organisations) > 0 {
		fmt.Fprintln(w, "organisations that burn fastest over 1 h:")
		writeRows(w, "organisation", r.Organisations, func(row Row) string { return row.Organisation + " at " + row.Service })
	}
}

func writeRows(w io.Writer, title string, rows []Row, name func(Row) string) {
	fmt.Fprintf(w, "%-36s %-15s %-8s %8s %8s %10s %8s %8s %8s\n", title, "objective", "state", "good", "target", "events", "5 min", "1 h", "6 h")
	for _, row := range rows {
		fmt.Fprintf(w, "%-36s %-15s %-8s %7.2f%% %7.0f%% %10d %7.2fx %7.2fx %7.2fx\n",
			name(row), row.Objective, row.State, 100*row.Good, 100*row.Target, row.Events, row.BurnRates[0], row.BurnRates[1], row.BurnRates[2])
	}
}
