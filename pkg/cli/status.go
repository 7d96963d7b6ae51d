package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/httpclient"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	operatorTimeout = 3 * time.Second
	// maxOperatorBytes bounds the response of an operator endpoint.
	maxOperatorBytes = 4 << 20
)

var operatorClient = httpclient.New()

// statusRow is the status of an entry or of an agent. Only an agent has a pool.
type statusRow struct {
	entry.Status
	Pool      string `json:"pool,omitempty"`
	Draining  bool   `json:"draining,omitempty"`
	BackendUp bool   `json:"backendUp,omitempty"`
}

// String returns the status on one line.
func (s statusRow) String() string {
	if s.Pool != "" {
		return fmt.Sprintf("%s pool=%s draining=%t backendUp=%t offset=%d", s.Name, s.Pool, s.Draining, s.BackendUp, s.ConfigOffset)
	}
	return fmt.Sprintf("%s %s phase=%s ready=%t version=%d offset=%d inFlight=%d replicas=%d",
		s.Name, s.FailureDomain, s.Phase, s.Ready, s.ConfigVersion, s.ConfigOffset, s.InFlight, s.Replicas)
}

func (a *app) statusCommand() *cobra.Command {
	var addresses []string
	cmd := &cobra.Command{
		Use:     "status --operator ADDRESS",
		Short:   "Show the state of entries and agents",
		Example: "  fescuehub status --operator 127.0.0.1:7101 --operator 127.0.0.1:7102",
		Args:    noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list []statusRow
			for _, address := range addresses {
				var s statusRow
				if err := getJSON(cmd.Context(), "http://"+address+"/v1/status", &s); err != nil {
					return err
				}
				list = append(list, s)
			}
			return a.print(list, func(w io.Writer) {
				for _, s := range list {
					fmt.Fprintln(w, s)
				}
			})
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "operator", nil, "operator address of an entry or an agent; may be given many times (required)")
	_ = cmd.MarkFlagRequired("operator")
	return cmd
}

// getJSON decodes the JSON response of an operator endpoint, of at most maxOperatorBytes, into target.
func getJSON(ctx context.Context, url string, target any) error {
	return getJSONWithHeader(ctx, url, nil, target)
}

// getJSONWithHeader is getJSON with a request header.
func getJSONWithHeader(ctx context.Context, url string, header http.Header, target any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	err := httpclient.GetWithHeader(ctx, operatorClient, url, header, maxOperatorBytes, target)
	if refused := (*httpclient.StatusError)(nil); errors.As(err, &refused) {
		return problem.New(problem.Unavailable, "check the address and that the process runs", "GET %s: status %d %s", url, refused.Status, http.StatusText(refused.Status))
	}
	if err != nil {
		return problem.New(problem.Unavailable, "check the address and that the process runs", "%v", err)
	}
	return nil
}
