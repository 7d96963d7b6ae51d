package faultmatrix

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Scenario is a protocol and the properties that must hold for it.
type Scenario struct {
	// Protocol names the protocol, such as "write".
	Protocol string
	// Build adds the nodes and starts the protocol.
	Build func(w *World)
	// Check returns the violated properties at the end of a run.
	Check func(w *World) []string
	// Inapplicable lists the faults that do not apply to the protocol.
	Inapplicable []Fault
	// Parallel allows cells to run concurrently. Build and Check must then share no state between
	// runs.
	Parallel bool
}

// Options select the cells of a matrix.
type Options struct {
	Seeds []uint64
	// Pairs is the number of random pairs of faults that are drawn for each seed. Pairs with an
	// inapplicable fault are skipped.
	Pairs int
	// StopAtFirst skips the remaining cells after a violation. Cells run in chunks, so a few more
	// may run.
	StopAtFirst bool
}

// Cell is one run with its injected faults. Step is the name of the step of the fault, "pair" for
// two faults, or "none" without faults.
type Cell struct {
	Seed       uint64
	Injections []Injection
	Step       string
	Violations []string
}

// Replay returns the environment variables that replay the cell, in shell syntax.
func (c Cell) Replay() string {
	parts := make([]string, len(c.Injections))
	for i, in := range c.Injections {
		parts[i] = fmt.Sprintf("%s@%d", in.Fault, in.Step)
	}
	return fmt.Sprintf("FESCUE_MATRIX_SEED=%d FESCUE_MATRIX_CELL=%s", c.Seed, strings.Join(parts, ","))
}

// Report is the result of a matrix.
type Report struct {
	Protocol string
	Runs     int
	Failed   []Cell
	// counts holds the runs and failures by fault and step name.
	counts map[countKey]*runCount
}

type countKey struct {
	fault Fault
	step  string
}

type runCount struct{ runs, failed int }

// Run runs, for each seed, a cell without faults, a cell for every fault at every step, and cells
// with random pairs of faults.
func Run(s Scenario, o Options) (Report, error) {
	report := Report{Protocol: s.Protocol, counts: make(map[countKey]*runCount)}
	for _, seed := range o.Seeds {
		if o.StopAtFirst && len(report.Failed) > 0 {
			return report, nil
		}
		steps, violations, err := runOnce(s, seed, nil, true)
		if err != nil {
			return report, err
		}
		report.add(Cell{Seed: seed, Step: "none", Violations: violations}, "none")
		cells := append(singleFaultCells(s, seed, steps), faultPairCells(s, seed, steps, o.Pairs)...)
		if err := report.runCells(s, cells, o.StopAtFirst); err != nil {
			return report, err
		}
	}
	return report, nil
}

// singleFaultCells returns a cell for every applicable fault at every step.
func singleFaultCells(s Scenario, seed uint64, steps []Step) []Cell {
	var cells []Cell
	for _, f := range AllFaults {
		if slices.Contains(s.Inapplicable, f) {
			continue
		}
		for _, step := range steps {
			cells = append(cells, Cell{Seed: seed, Step: step.Name, Injections: []Injection{{f, step.Index}}})
		}
	}
	return cells
}

// faultPairCells returns up to n cells with two random faults. The second fault may have a step
// index beyond the steps of the run without faults, because the first one can add steps.
func faultPairCells(s Scenario, seed uint64, steps []Step, n int) []Cell {
	var cells []Cell
	w := newWorld(seed, nil)
	for range n {
		a := Injection{AllFaults[w.random.IntN(len(AllFaults))], w.random.IntN(len(steps))}
		b := Injection{AllFaults[w.random.IntN(len(AllFaults))], w.random.IntN(len(steps) + len(steps)/2)}
		if slices.Contains(s.Inapplicable, a.Fault) || slices.Contains(s.Inapplicable, b.Fault) {
			continue
		}
		cells = append(cells, Cell{Seed: seed, Step: "pair", Injections: []Injection{a, b}})
	}
	return cells
}

// chunkCells is the number of cells that run between two checks for a violation.
const chunkCells = 64

// runCells runs the cells in chunks and adds them to the report in their order. With stopAtFirst
// it stops after a chunk with a violation.
func (r *Report) runCells(s Scenario, cells []Cell, stopAtFirst bool) error {
	for chunk := range slices.Chunk(cells, chunkCells) {
		if stopAtFirst && len(r.Failed) > 0 {
			return nil
		}
		if err := r.runChunk(s, chunk); err != nil {
			return err
		}
	}
	return nil
}

func (r *Report) runChunk(s Scenario, cells []Cell) error {
	var group errgroup.Group
	group.SetLimit(1)
	if s.Parallel {
		group.SetLimit(runtime.GOMAXPROCS(0))
	}
	for i := range cells {
		c := &cells[i]
		group.Go(func() error {
			var err error
			_, c.Violations, err = runOnce(s, c.Seed, c.Injections, false)
			return errors.Wrap(err, c.Replay())
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, c := range cells {
		r.add(c, c.Injections[0].Fault)
	}
	return nil
}

func (r *Report) add(c Cell, f Fault) {
	r.Runs++
	key := countKey{f, c.Step}
	if r.counts[key] == nil {
		r.counts[key] = &runCount{}
	}
	r.counts[key].runs++
	if len(c.Violations) > 0 {
		r.counts[key].failed++
		r.Failed = append(r.Failed, c)
	}
}

// Replay runs one cell, which is given as a comma-separated list of FAULT@STEP, and returns it with
// its violations and its steps with their names.
func Replay(s Scenario, seed uint64, cell string) (Cell, []Step, error) {
	var injections []Injection
	for part := range strings.SplitSeq(cell, ",") {
		var i Injection
		fault, step, ok := strings.Cut(part, "@")
		if !ok {
			continue
		}
		i.Fault = Fault(fault)
		if _, err := fmt.Sscan(step, &i.Step); err != nil {
			return Cell{}, nil, err
		}
		injections = append(injections, i)
	}
	steps, violations, err := runOnce(s, seed, injections, true)
	return Cell{Seed: seed, Injections: injections, Violations: violations}, steps, err
}

// runOnce runs one cell and returns its steps and the violations. The steps have names only with
// nameSteps, because naming them takes longer than the rest of a run.
func runOnce(s Scenario, seed uint64, injections []Injection, nameSteps bool) ([]Step, []string, error) {
	w := newWorld(seed, injections)
	w.nameSteps = nameSteps
	w.Add(restartNode, func(int) Node { return restarter{w} })
	s.Build(w)
	if err := w.run(); err != nil {
		return w.steps, nil, err
	}
	return w.steps, s.Check(w), nil
}

// Write prints the number of runs and failures of each fault at each step.
func (r Report) Write(out io.Writer) {
	keys := make([]countKey, 0, len(r.counts))
	for k := range r.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b countKey) int {
		return strings.Compare(string(a.fault)+"\x00"+a.step, string(b.fault)+"\x00"+b.step)
	})
	fmt.Fprintf(out, "protocol %s: %d runs, %d failed\n", r.Protocol, r.Runs, len(r.Failed))
	for _, k := range keys {
		c := r.counts[k]
		fmt.Fprintf(out, "  %-14s %-48s runs %4d failed %4d\n", k.fault, k.step, c.runs, c.failed)
	}
}
