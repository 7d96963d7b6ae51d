package cli

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/load"
)

func (a *app) loadCommand() *cobra.Command {
	var o load.Options
	var organisations []string
	var shape string
	cmd := &cobra.Command{
		Use:   "load --entry ADDRESS --model ROUTE",
		Short: "Send open-loop traffic to entries on loopback and measure the responses",
		Long: "Send open-loop traffic to entries on loopback and measure the responses. Arrivals follow a seeded plan and do not wait for responses; " +
			"times count from the planned arrival. Addresses that are not on loopback are rejected, and the run is bounded. Each response is checked to be complete and to match its request.",
		Example: "  fescuehub load --entry 127.0.0.1:7100 --model asistente-mostrador --service caja-inventario --rate 50 --for 30s --output json > a.json",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.Shape = load.Shape(shape)
			var err error
			if o.Organisations, err = parseOrganisations(organisations); err != nil {
				return err
			}
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			result, err := load.Run(ctx, o)
			if err != nil {
				return err
			}
			return a.print(result, result.Write)
		},
	}
	f := cmd.Flags()
	f.StringSliceVar(&o.Entries, "entry", nil, "caller address of an entry; may be given many times (required)")
	f.StringVar(&o.ModelRoute, "model", "", "route of model requests")
	f.StringVar(&o.ServiceRoute, "service", "", "route of calls to a plain service")
	f.StringSliceVar(&organisations, "organisation", []string{"load=1"}, "NAME=WEIGHT of an organisation; may be given many times")
	f.Uint64Var(&o.Seed, "seed", 1, "seed of the plan")
	f.Float64Var(&o.Rate, "rate", 20, "arrivals per second; with --shape day at the peak")
	f.DurationVar(&o.Duration, "for", 10*time.Second, "length of the run, up to 10m")
	f.StringVar(&shape, "shape", string(load.Steady), "steady or day")
	f.Float64Var(&o.ModelShare, "model-part", 0.8, "fraction of the requests that go to the model route, from 0 to 1")
	f.Float64Var(&o.WriteShare, "write-part", 0.5, "fraction of the other requests that are unrepeatable writes, from 0 to 1")
	f.IntVar(&o.Tokens, "tokens", 16, "tokens per response")
	f.IntVar(&o.Prompts, "prompts", 100, "number of different prompts")
	f.DurationVar(&o.Timeout, "timeout", time.Minute, "time after which a request counts as failed")
	_ = cmd.MarkFlagRequired("entry")
	cmd.AddCommand(a.loadCompare())
	return cmd
}

func parseOrganisations(list []string) ([]load.Organisation, error) {
	var out []load.Organisation
	for _, text := range list {
		name, weight, found := strings.Cut(text, "=")
		w, err := strconv.ParseFloat(weight, 64)
		if !found || name == "" || err != nil || w <= 0 {
			return nil, usageErrorf("--organisation %q; write NAME=WEIGHT with a positive weight", text)
		}
		out = append(out, load.Organisation{Name: name, Weight: w})
	}
	return out, nil
}

func (a *app) loadCompare() *cobra.Command {
	return &cobra.Command{
		Use:     "compare A.json B.json",
		Short:   "Compare two results of load",
		Example: "  fescuehub load compare before.json after.json",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) != 2 {
				return usageErrorf("compare takes two result files")
			}
			return nil
		},
		RunE: func(_ *cobra.Command, args []string) error {
			var results [2]load.Result
			for i, path := range args {
				data, err := readFile(path)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(data, &results[i]); err != nil {
					return usageErrorf("%s is not a result of load --output json: %v", path, err)
				}
			}
			changes := load.Compare(&results[0], &results[1])
			return a.print(changes, func(w io.Writer) { load.WriteChanges(w, changes) })
		},
	}
}
