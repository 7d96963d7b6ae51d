package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/gateway"
)

func (a *app) siteExplainCommand() *cobra.Command {
	var host, path, keyFile string
	var tokens int
	cmd := &cobra.Command{
		Use:     "explain --metrics ADDRESS --host HOST --path PATH",
		Short:   "Explain where one entry would send a request now, and why, without sending it",
		Example: "  fescuehub site explain --metrics 10.1.0.40:9464 --host models.example --path /v1/chat --key-file key.txt --tokens 800",
		Args:    noArgs,
	}
	address := metricsFlag(cmd)
	cmd.Flags().StringVar(&host, "host", "", "host of the request (required)")
	cmd.Flags().StringVar(&path, "path", "", "path of the request (required)")
	cmd.Flags().StringVar(&keyFile, "key-file", "", "file with the key of the request")
	cmd.Flags().IntVar(&tokens, "tokens", 0, "prompt tokens of the request")
	_ = cmd.MarkFlagRequired("host") // fails only for an unknown flag
	_ = cmd.MarkFlagRequired("path") // fails only for an unknown flag
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		header := make(http.Header)
		if keyFile != "" {
			key, err := os.ReadFile(keyFile)
			if err != nil {
				return errors.Wrap(err, "read the key")
			}
			header.Set(gateway.ExplainKeyHeader, strings.TrimSpace(string(key)))
		}
		query := url.Values{"host": {host}, "path": {path}, "tokens": {strconv.Itoa(tokens)}}
		var x gateway.RequestExplanation
		if err := getJSONWithHeader(cmd.Context(), "http://"+*address+gateway.ExplainPath+"?"+query.Encode(), header, &x); err != nil {
			return err
		}
		return a.print(x, func(w io.Writer) { printExplanation(w, x) })
	}
	return cmd
}

func printExplanation(w io.Writer, x gateway.RequestExplanation) {
	fmt.Fprintf(w, "route=%s organisation=%s priority=%d promptTokens=%d refused=%q\n", x.Route, x.Organisation, x.Priority, x.PromptTokens, x.Refused)
	for _, s := range x.Services {
		fmt.Fprintf(w, "service=%s weight=%g cheapest=%s slotWait=%dms waits=%q refused=%q rule=%q\n", s.Service, s.Weight, s.Cheapest, s.SlotWaitMS, s.Waits, s.Refused, s.Rule)
		for _, c := range s.Servers {
			if c.LeftOut != "" {
				fmt.Fprintf(w, "  server=%s group=%s leftOut=%q\n", c.Server, c.Group, c.LeftOut)
				continue
			}
			fmt.Fprintf(w, "  server=%s group=%s cost=%.2f load=%.2f failures=%.2f unresponsive=%.0f requests=%.1f chance=%.3f\n", c.Server, c.Group, c.Cost, c.Load, c.Failures, c.Unresponsive, c.Requests, c.Chance)
		}
	}
}
