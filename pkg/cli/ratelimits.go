package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/gateway"
)

func (a *app) siteRateLimitsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "rate-limits --metrics ADDRESS",
		Short:   "List the rate limits that backend servers have stated, as one entry knows them",
		Example: "  fescuehub site rate-limits --metrics 10.1.0.40:9464",
	}
	return listFromEntry(a, cmd, gateway.RateLimitsPath, func(l gateway.RateLimit) string {
		return fmt.Sprintf("server=%s stated=%g/s permitted=%.3g/s ended=%t age=%.1fs learnedFrom=%s granter=%s sent=%d denied=%d granted=%d",
			l.Server, l.Stated, l.Permitted, l.Ended, l.AgeSeconds, l.LearnedFrom, l.Granter, l.Sent, l.Denied, l.Granted)
	})
}
