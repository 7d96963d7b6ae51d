package report

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"
)

// The size of a plot in pixels.
const (
	plotWidth  = 460
	plotHeight = 160
)

// pageTemplate is a self-contained document. It has no scripts and loads no external resources.
var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(f float64) float64 { return 100 * f },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.3em .8em;border-bottom:1px solid #ddd;text-align:right}
td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}
.urgent{background:#c62828;color:#fff}.burning{background:#ffb300}.ok{background:#c8e6c9}.no-data{background:#eee}
.state{padding:.2em .6em;border-radius:.3em;font-weight:bold}
.plots{display:flex;flex-wrap:wrap;gap:1em}figure{margin:0;border:1px solid #ddd;padding:.5em}figure svg{width:460px;height:160px}
</style></head><body>
<h1>Service-level burn <span class="state {{.Report.State}}">{{.Report.State}}</span></h1>
<p>{{.Report.At.UTC.Format "2006-01-02 15:04:05 UTC"}}, {{len .Report.Entries}} entries. A burn rate of 1 uses up the error budget exactly. Urgent: 10 or more over 5 min and 1 h. Burning: 2 or more over 1 h and 6 h.</p>
{{define "rows"}}{{range .}}<tr><td>{{if .Organisation}}{{.Organisation}} at {{end}}{{.Service}}</td><td>{{.Objective}}</td>
<td><span class="state {{.State}}">{{.State}}</span></td><td>{{printf "%.2f" (percent .Good)}}%</td><td>{{printf "%.0f" (percent .Target)}}%</td>
<td>{{.Events}}</td>{{range .BurnRates}}<td>{{printf "%.2f" .}}</td>{{end}}</tr>
{{end}}{{end}}
{{define "head"}}<tr><th>Service</th><th>Objective</th><th>State</th><th>Good</th><th>Target</th><th>Events (6 h)</th><th>Burn 5 min</th><th>1 h</th><th>6 h</th></tr>{{end}}
<table>{{template "head"}}{{template "rows" .Report.Services}}</table>
<h2>Burn rates over the last 6 h</h2>
<div class="plots">{{range .Plots}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>{{end}}</div>
{{if .Report.Organisations}}<h2>Organisations with the highest burn rates over 1 h</h2>
<table>{{template "head"}}{{template "rows" .Report.Organisations}}</table>{{end}}
</body></html>
`))

type plot struct {
	Title string
	SVG   template.HTML
}

// WriteHTML writes the report as one self-contained page.
func (r Report) WriteHTML(w io.Writer) error {
	var plots []plot
	for _, row := range r.Services {
		svg, err := renderBurnPlot(r.At, row)
		if err != nil {
			return err
		}
		plots = append(plots, plot{Title: row.Service + ": " + string(row.Objective), SVG: template.HTML(svg)})
	}
	err := pageTemplate.Execute(w, struct {
		Report Report
		Plots  []plot
	}{r, plots})
	return errors.Wrap(err, "render the HTML report")
}

// renderBurnPlot returns an SVG plot of the burn rate in each step of the history, with a line at
// a rate of 1.
func renderBurnPlot(at time.Time, row Row) (string, error) {
	times := make([]time.Time, historySteps)
	rates := make([]float64, historySteps)
	allowed := make([]float64, historySteps)
	maxRate := 2.0
	for i := range times {
		times[i] = at.Add(-time.Duration(historySteps-1-i) * historyStep)
		allowed[i] = 1
		if i < len(row.History) {
			rates[i] = row.History[i].BurnRate(row.Target)
		}
		maxRate = max(maxRate, rates[i])
	}
	graph := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		XAxis: chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04")},
		YAxis: chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: maxRate}},
		Series: []chart.Series{
			chart.TimeSeries{XValues: times, YValues: rates, Style: chart.Style{StrokeColor: drawing.ColorFromHex("1565c0"), StrokeWidth: 2}},
			chart.TimeSeries{XValues: times, YValues: allowed, Style: chart.Style{StrokeColor: drawing.ColorFromHex("c62828"), StrokeWidth: 1}},
		},
	}
	var out bytes.Buffer
	if err := graph.Render(chart.SVG, &out); err != nil {
		return "", errors.Wrap(err, "draw the burn plot of "+row.Service)
	}
	return out.String(), nil
}
