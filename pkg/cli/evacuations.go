package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fescuehub/fescuehub/pkg/gateway"
)

func (a *app) siteEvacuationsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "evacuations --metrics ADDRESS",
		Short:   "List the failure domains that operators have evacuated, as one entry knows them",
		Example: "  fescuehub site evacuations --metrics 10.1.0.40:9464",
	}
	return listFromEntry(a, cmd, gateway.EvacuationsPath, func(e gateway.Evacuation) string {
		return fmt.Sprintf("domain=%s evacuated=%t known=%t timeline=%d offset=%d learnedFrom=%s servers=%d",
			e.Domain, e.Evacuated, e.Known, e.Timeline, e.Offset, e.LearnedFrom, e.Servers)
	})
}
