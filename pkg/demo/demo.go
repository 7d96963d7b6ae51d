// Package demo runs a small deployment on loopback in one process (stand-ins, entries and agents)
// and prints a series of example requests with their outcomes.
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

// runTimeout bounds the run time of a demo.
const runTimeout = 28 * time.Second

// Deployment is an example deployment: its names, and the requests that the demo sends.
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

// Arcos and Somes are the available deployments.
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

// Run runs the demo of the deployment and prints the response to each request to out. The logs of
// the processes go to logs. If ctx is cancelled, Run stops early without an error.
func Run(ctx context.Context, d Deployment, out, logs io.Writer) error {
	interrupted := ctx.Done()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	site, err := newSite(d, logs)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	siteDone := make(chan error, 1)
	go func() { siteDone <- site.run(ctx) }()
	err = runSteps(ctx, d, site, out)
	stop()
	siteErr := <-siteDone
	select {
	case <-interrupted:
		fmt.Fprintln(out, "\nInterrupted: all processes of the demo have stopped.")
		return siteErr
	default:
		return errors.CombineErrors(err, siteErr)
	}
}

// runSteps publishes the tables and runs the parts of the demo in order.
func runSteps(ctx context.Context, d Deployment, s *site, out io.Writer) error {
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
	fmt.Fprintf(out, "The caller queried the entry addresses and uses %s\n", c.address)
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
		a, err := c.sendModelRequest(ctx, d.Prompt, stream)
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
		a, err := c.sendWrite(ctx, d.WritePath, key, d.WriteBody)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "  key ...%s: %s\n", key[len(key)-6:], a)
	}
	fmt.Fprintf(out, "  the services executed the write of the second key %d time(s)\n", s.executions(second))
	return nil
}

func showChange(ctx context.Context, d Deployment, s *site, c *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nA pool changes while a request runs:")
	result := make(chan string, 1)
	go func() {
		a, err := c.sendModelRequest(ctx, d.Prompt+" Take your time.", true)
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
			a, err := c.sendModelRequest(ctx, fmt.Sprintf("%s (%d)", d.Prompt, i), true)
			results <- fmt.Sprint(a, errorText(err))
		}()
	}
	time.Sleep(100 * time.Millisecond)
	s.agents[0].Drain()
	fmt.Fprintf(out, "  agent %s is draining\n", s.agentNames[0])
	for range callers {
		fmt.Fprintf(out, "  %s\n", <-results)
	}
	return nil
}

func showBurn(ctx context.Context, _ Deployment, s *site, _ *caller, out io.Writer) error {
	fmt.Fprintln(out, "\nError budget burn rates over all entries (fescuehub report):")
	var snapshots []report.Snapshot
	for _, es := range s.entrySettings {
		var snapshot report.Snapshot
		if err := getJSON(ctx, "http://"+es.OperatorAddress+"/v1/burn", &snapshot); err != nil {
			return err
		}
		snapshots = append(snapshots, snapshot)
	}
	report.NewReport(time.Now(), snapshots, 0).Write(out)
	return nil
}

// errorText returns the text of err after a space, or an empty string without an error.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return " " + err.Error()
}

// document returns the tables of the deployment with the given concurrency limit of the pools.
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

// waitFor polls the condition until it holds or ctx is done. what names it in the error.
func waitFor(ctx context.Context, what string, condition func() bool) error {
	const pollInterval = 10 * time.Millisecond
	for !condition() {
		if ctx.Err() != nil {
			return problem.New(problem.DeadlineExceeded, "run the demo again on a less busy instance", "timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
