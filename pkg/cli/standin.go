package cli

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/spf13/cobra"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/fescuehub/fescuehub/pkg/httpserver"
	peerlist "github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/standin/engine"
	"github.com/fescuehub/fescuehub/pkg/standin/instancelist"
	"github.com/fescuehub/fescuehub/pkg/standin/logservice"
	"github.com/fescuehub/fescuehub/pkg/standin/plainservice"
	"github.com/fescuehub/fescuehub/pkg/standin/weightstore"
)

const standinShutdownTimeout = 2 * time.Second

func (a *app) standinCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "standin",
		Short:   "Run a stand-in for an external system that fescuehub uses, for tests",
		Example: "  fescuehub standin log --listen 127.0.0.1:7001",
		Args:    noArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.standinLog(), a.standinInstances(), a.standinWeights(), a.standinEngine(), a.standinService())
	return cmd
}

func (a *app) standinLog() *cobra.Command {
	options := logservice.Options{}
	return standin("log", "the append-only log service", func(cmd *cobra.Command) {
		cmd.Flags().IntVar(&options.AppendsPerSecond, "appends-per-second", 400, "limit of appends per second over all streams")
		cmd.Flags().DurationVar(&options.Retention, "retention", 24*time.Hour, "how long a record is kept")
	}, func(context.Context) (http.Handler, error) {
		return logservice.New(options).Handler(), nil
	})
}

func (a *app) standinInstances() *cobra.Command {
	var path string
	return standin("instances", "the lagging instance list", func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&path, "list", "", "JSON file with the initial instances")
	}, func(context.Context) (http.Handler, error) {
		var list peerlist.List
		if path != "" {
			data, err := readFile(path)
			if err != nil {
				return nil, err
			}
			if err := json.Unmarshal(data, &list); err != nil {
				return nil, usageErrorf("%s: %v", path, err)
			}
		}
		return instancelist.New(list.Instances).Handler(), nil
	})
}

func (a *app) standinWeights() *cobra.Command {
	var objectBytes, bytesPerSecond int
	return standin("weights", "the rate-limited weight store", func(cmd *cobra.Command) {
		cmd.Flags().IntVar(&objectBytes, "object-bytes", 1<<20, "size of each object in bytes")
		cmd.Flags().IntVar(&bytesPerSecond, "bytes-per-second", 64<<20, "read rate limit in bytes per second over all readers")
	}, func(context.Context) (http.Handler, error) {
		return weightstore.New(objectBytes, bytesPerSecond).Handler(), nil
	})
}

func (a *app) standinEngine() *cobra.Command {
	var o engine.Options
	return standin("engine", "a model engine", func(cmd *cobra.Command) {
		f := cmd.Flags()
		f.StringVar(&o.Name, "name", "engine", "name in responses")
		f.DurationVar(&o.StepTime, "step", 20*time.Millisecond, "time of one step")
		f.DurationVar(&o.PrefillPerToken, "prefill-per-word", time.Millisecond, "prefill time of each word of a prompt that is not in the cache")
		f.IntVar(&o.MaxBatch, "max-batch", 16, "maximum number of running requests")
		f.IntVar(&o.CacheEntries, "cache-entries", 256, "capacity of the cache in prompt prefixes")
		f.BoolVar(&o.CheckFencing, "check-fencing", true, "refuse orders with an old fencing number")
		f.BoolVar(&o.CanResume, "can-resume", true, "resume streams")
		f.StringVar(&o.Rank.Group, "group", "group", "name of the group of ranks")
		f.IntVar(&o.Rank.Rank, "rank", 0, "rank in the group")
		f.StringSliceVar(&o.Rank.Peers, "rank-urls", nil, "base URLs of all ranks of the group, in rank order; none for an engine outside of a group")
		f.IntVar(&o.Rank.Layers, "layers", 2, "number of layers with experts")
		f.Int64Var(&o.Rank.ExpertBytes, "expert-bytes", 1<<20, "size of one expert of one layer in bytes")
		f.IntVar(&o.Rank.Experts, "experts", 8, "number of experts per layer")
	}, func(ctx context.Context) (http.Handler, error) {
		e := engine.New(o)
		go func() { _ = e.Run(ctx) }()
		return e.Handler(), nil
	})
}

func (a *app) standinService() *cobra.Command {
	var name string
	return standin("service", "a plain service", func(cmd *cobra.Command) {
		cmd.Flags().StringVar(&name, "name", "service", "name in responses")
	}, func(context.Context) (http.Handler, error) {
		return plainservice.New(name).Handler(), nil
	})
}

// standin returns the command that serves one stand-in until SIGTERM or SIGINT. addFlags adds
// its flags, and newHandler is called after they are parsed.
func standin(name, system string, addFlags func(*cobra.Command), newHandler func(context.Context) (http.Handler, error)) *cobra.Command {
	var address string
	cmd := &cobra.Command{
		Use:     name,
		Short:   "Run a stand-in for " + system,
		Long:    "Run a stand-in for " + system + ". GET and PUT /faults read and set its injected faults.",
		Example: "  fescuehub standin " + name + " --listen 127.0.0.1:7001",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signalContext(cmd.Context())
			defer stop()
			handler, err := newHandler(ctx)
			if err != nil {
				return err
			}
			return serve(ctx, address, handler)
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:0", "IP:port to serve on")
	addFlags(cmd)
	return cmd
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := httpserver.Listen("--listen", address)
	if err != nil {
		return err
	}
	server := httpserver.New(listener, tally.NoopScope, handler)
	var group errgroup.Group
	group.Go(server.Run)
	group.Go(func() error {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), standinShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
		return nil
	})
	return group.Wait()
}
