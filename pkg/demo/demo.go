// Package demo runs the whole path on loopback in one process: stand-ins,
// entries and agents at a small size, with requests that a newcomer can read.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/configclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/report"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// bound ends a demo that does not end by itself.
const bound = 28 * time.Second

// Deployment is what the demo shows.
type Deployment struct {
	Name           string
	FailureDomains []string
	ModelRoute     string
	ServiceRoute   string
	Organisations  []string
	Prompt         string
	WritePath      string
	WriteBody      string
	SkewWeight     float64
}

// Arcos and Somes are the deployments that the demo knows.
var (
	Arcos = Deployment{
		Name:           "arcos",
		FailureDomains: []string{"cuenca-centro", "cuenca-bodega", "cuenca-oficina"},
		ModelRoute:     "asistente-mostrador",
		ServiceRoute:   "caja-inventario",
		Organisations:  []string{"tienda-centro", "escuelas"},
		Prompt:         "Which canvas grade suits oil on a large frame?",
		WritePath:      "holds",
		WriteBody:      `{"sku":"ultramarine-200ml","quantity":2}`,
		SkewWeight:     0.9,
	}
	Somes = Deployment{
		Name:           "somes",
		FailureDomains: []string{"nord-a", "nord-b", "nord-c"},
		ModelRoute:     "rota-model",
		ServiceRoute:   "pen-desk",
		Organisations:  []string{"lake-farms", "river-crews"},
		Prompt:         "Draft the rota of pen 4 for next week.",
		WritePath:      "bookings",
		WriteBody:      `{"pen":4,"day":"2026-12-07"}`,
		SkewWeight:     0.2,
	}
)

// Find returns the deployment with the name.
func Find(name string) (Deployment, bool) {
	for _, d := range []Deployment{Arcos, Somes} {
		if d.Name == name {
			return d, true
		}
	}
	return Deployment{}, false
}

// Run shows the deployment and prints what each caller got to out. Logs of the
// processes go to logs. It ends early, and without an error, when ctx ends.
func Run(ctx context.Context, d Deployment, out, logs io.Writer) error {
	interrupted := ctx.Done()
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	site, err := newSite(d, logs)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- site.run(ctx) }()
	err = script(ctx, d, site, out)
	stop()
	endErr := <-ended
	select {
	case <-interrupted:
		fmt.Fprintln(out, "\nInterrupted: everything that the demo started has ended.")
		return endErr
	default:
		return errors.CombineErrors(err, endErr)
	}
}

// script is what the demo shows, in order.
func script(ctx context.Context, d Deployment, s *site, out io.Writer) error {
	fmt.Fprintf(out, "Deployment %s: %d entries, %d agents, stand-ins of the log service, the instance list, engines and services\n",
		d.Name, len(s.entries), len(s.agents))
	if err := publishTables(ctx, s, document(d, 8)); err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "\nThe tables are published and in force at every entry.")
	c, err := newCaller(ctx, s.entryAddress(0), d)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "Caller asked for addresses and uses %s\n", c.address)
	for _, step := range []func(context.Context, Deployment, *site, *caller, io.Writer) error{
		showModel, showWrites, showChange, showDrain, showBurn,
	} {
		if err := step(ctx, d, s, c, out); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "\nDone.")
	return nil
}

func showModel(ctx context.Context, d Deployment, _ *site, c *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nModel requests:")
	for _, stream := range []bool{true, false} {
		a, err := c.ask(ctx, d.Prompt, stream)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  %s\n", a)
	}
	return nil
}

func showWrites(ctx context.Context, d Deployment, s *site, c *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nUnrepeatable writes:")
	first, second := newKey(), newKey()
	for _, key := range []string{first, second, second} {
		a, err := c.write(ctx, d.WritePath, key, d.WriteBody)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  key ...%s: %s\n", key[len(key)-6:], a)
	}
	fmt.Fprintf(out, "  the services executed the second key %d time(s)\n", s.executions(second))
	return nil
}

func showChange(ctx context.Context, d Deployment, s *site, c *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nA pool changes while a request runs:")
	result := make(chan string, 1)
	go func() {
		a, err := c.ask(ctx, d.Prompt+" Take your time.", true)
		result <- fmt.Sprint(a, errorText(err))
	}()
	start := time.Now()
	if err := publishTables(ctx, s, document(d, 4)); err != nil {
		return err
	}
	if err := s.awaitVersion(ctx, 2); err != nil {
		return err
	}
	fmt.Fprintf(out, "  in force at every entry after %d ms\n", time.Since(start).Milliseconds())
	fmt.Fprintf(out, "  %s\n", <-result)
	return nil
}

func showDrain(ctx context.Context, d Deployment, s *site, c *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nA backend server drains while requests run:")
	const callers = 6
	results := make(chan string, callers)
	for i := range callers {
		go func() {
			a, err := c.ask(ctx, fmt.Sprintf("%s (%d)", d.Prompt, i), true)
			results <- fmt.Sprint(a, errorText(err))
		}()
	}
	time.Sleep(100 * time.Millisecond)
	s.agents[0].Drain()
	fmt.Fprintf(out, "  agent %s was told to drain\n", s.agentNames[0])
	for range callers {
		fmt.Fprintf(out, "  %s\n", <-results)
	}
	return nil
}

func showBurn(ctx context.Context, _ Deployment, s *site, _ *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nThe service-level burn over all entries (fescuehub report):")
	var snapshots []report.Snapshot
	for _, es := range s.entrySets {
		var snapshot report.Snapshot
		if err := getJSON(ctx, "http://"+es.OperatorAddress+"/v1/burn", &snapshot); err != nil {
			return err
		}
		snapshots = append(snapshots, snapshot)
	}
	report.NewReport(time.Now(), snapshots, 0).Write(out)
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " " + err.Error()
}

// document returns the tables of the deployment.
func document(d Deployment, concurrency int) tables.Document {
	var organisations []tables.Organisation
	for _, name := range d.Organisations {
		organisations = append(organisations, tables.Organisation{Name: name})
	}
	return tables.Document{
		Routes: []tables.Route{
			{Name: d.ModelRoute, Pool: "engines", DeadlineMS: 20_000, Organisations: organisations},
			{Name: d.ServiceRoute, Pool: "services", DeadlineMS: 5_000, Organisations: organisations, Unrepeatable: []string{"POST"}},
		},
		Pools: []tables.Pool{
			{Name: "engines", Kind: tables.Model, Concurrency: concurrency, SkewWeight: d.SkewWeight, CheckFencing: true},
			{Name: "services", Kind: tables.Service, Concurrency: concurrency},
		},
	}
}

func publishTables(ctx context.Context, s *site, doc tables.Document) error {
	data, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	_, err = configclient.New(s.logURL).Apply(ctx, data)
	return err
}

func await(ctx context.Context, what string, condition func() bool) error {
	const pause = 10 * time.Millisecond
	for !condition() {
		if ctx.Err() != nil {
			return problem.New(problem.DeadlineExceeded, "run the demo again on a less busy instance", "%s did not happen in time", what)
		}
		time.Sleep(pause)
	}
	return nil
}
