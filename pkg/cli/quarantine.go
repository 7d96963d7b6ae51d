package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/gateway"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

func (a *app) siteQuarantineCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "quarantine",
		Short:   "List or release the parts of prompts that are refused because servers crashed under them",
		Example: "  fescuehub site quarantine list --metrics 10.1.0.40:9464\n  fescuehub site quarantine release --metrics 10.1.0.40:9464 --service model --part 91bd3f06",
		Args:    noArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(a.quarantineListCommand(), a.quarantineReleaseCommand())
	return cmd
}

// metricsFlag adds the required flag with the address of an entry's metrics.
func metricsFlag(cmd *cobra.Command) *string {
	address := cmd.Flags().String("metrics", "", "address of an entry's metrics, HOST:PORT (required); each entry knows what the others know")
	_ = cmd.MarkFlagRequired("metrics") // fails only for an unknown flag
	return address
}

// listFromEntry lets a command print the list that an entry returns at a path of its metrics, one line each.
func listFromEntry[T any](a *app, cmd *cobra.Command, path string, line func(T) string) *cobra.Command {
	address := metricsFlag(cmd)
	cmd.Args = noArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		var list []T
		if err := getJSON(cmd.Context(), "http://"+*address+path, &list); err != nil {
			return err
		}
		return a.print(list, func(w io.Writer) {
			for _, item := range list {
				fmt.Fprintln(w, line(item))
			}
		})
	}
	return cmd
}

func (a *app) quarantineListCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "list --metrics ADDRESS",
		Short:   "List the parts in quarantine, with the servers that crashed",
		Example: "  fescuehub site quarantine list --metrics 10.1.0.40:9464",
	}
	return listFromEntry(a, cmd, gateway.QuarantinePath, func(p gateway.QuarantinedPart) string {
		return fmt.Sprintf("service=%s part=%s strikes=%d inTrial=%t left=%.0fs crashedServers=%s", p.Service, p.Part, p.Strikes, p.InTrial, p.LeftSeconds, strings.Join(p.CrashedServers, ","))
	})
}

func (a *app) quarantineReleaseCommand() *cobra.Command {
	var service, part string
	cmd := &cobra.Command{
		Use:     "release --metrics ADDRESS --service SERVICE --part ID",
		Short:   "Release a part at all entries",
		Example: "  fescuehub site quarantine release --metrics 10.1.0.40:9464 --service model --part 91bd3f06",
		Args:    noArgs,
	}
	address := metricsFlag(cmd)
	cmd.Flags().StringVar(&service, "service", "", "service of the part (required)")
	cmd.Flags().StringVar(&part, "part", "", "ID of the part (required)")
	_ = cmd.MarkFlagRequired("service") // fails only for an unknown flag
	_ = cmd.MarkFlagRequired("part")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		query := url.Values{"service": {service}, "part": {part}}
		return releasePart(cmd.Context(), "http://"+*address+gateway.QuarantinePath+"?"+query.Encode())
	}
	return cmd
}

// releasePart asks an entry to release a part.
func releasePart(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return usageErrorf("%v", err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return problem.New(problem.Unavailable, "check the address and that the entry runs", "%v", err)
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return usageErrorf("the part is not in quarantine; list the parts that are with: fescuehub site quarantine list")
	default:
		return problem.New(problem.Unavailable, "check that the address is that of an entry's metrics", "DELETE %s: status %s", target, res.Status)
	}
}
