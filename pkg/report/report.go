package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"
)

// Row is the state of one objective of a service, or of an organisation at a service.
type Row struct {
	Key
	State State `json:"state"`
	// Good is the fraction of good events over 6 h, and Target the required fraction.
	Good   float64 `json:"good"`
	Target float64 `json:"target"`
	// BurnRates holds the burn rates over 5 min, 1 h and 6 h.
	BurnRates [windowCount]float64 `json:"burn"`
	Events    int64                `json:"events"`
	History   []Count              `json:"history,omitempty"`
}

// Report holds the burn rates of all objectives over a set of entries.
type Report struct {
	At       time.Time `json:"at"`
	Entries  []string  `json:"entries"`
	State    State     `json:"state"`
	Services []Row     `json:"services"`
	// Organisations holds the rows of organisations with the highest burn rates over 1 h, highest
	// first.
	Organisations []Row `json:"organisations"`
}

// NewReport sums the snapshots of the entries. It keeps at most maxOrganisations rows of
// organisations.
func NewReport(now time.Time, snapshots []Snapshot, maxOrganisations int) Report {
	merged := make(map[Key]*Series)
	report := Report{At: now, State: NoData}
	for _, s := range snapshots {
		report.Entries = append(report.Entries, s.Entry)
		for _, row := range s.Series {
			mergeSeries(merged, row)
		}
	}
	var list []Series
	for _, s := range merged {
		list = append(list, *s)
	}
	sortSeries(list)
	for _, s := range list {
		row := newRow(s)
		if s.Organisation != "" {
			report.Organisations = append(report.Organisations, row)
			continue
		}
		report.Services = append(report.Services, row)
		report.State = worseState(report.State, row.State)
	}
	slices.SortStableFunc(report.Organisations, func(a, b Row) int { return cmp.Compare(b.BurnRates[1], a.BurnRates[1]) })
	report.Organisations = report.Organisations[:min(maxOrganisations, len(report.Organisations))]
	return report
}

// mergeSeries adds the counts of row to the series with its key. A history of another length is
// ignored.
func mergeSeries(merged map[Key]*Series, row Series) {
	s, ok := merged[row.Key]
	if !ok {
		s = &Series{Key: row.Key}
		merged[row.Key] = s
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

func newRow(s Series) Row {
	target := s.Objective.Target()
	longest := s.Windows[windowCount-1]
	row := Row{Key: s.Key, State: Grade(s.Windows, target), Target: target, Events: longest.Total, History: s.History}
	if longest.Total > 0 {
		row.Good = float64(longest.Good) / float64(longest.Total)
	}
	for i, c := range s.Windows {
		row.BurnRates[i] = c.BurnRate(target)
	}
	return row
}

func worseState(a, b State) State {
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
		fmt.Fprintln(w, "organisations with the highest burn rates over 1 h:")
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
