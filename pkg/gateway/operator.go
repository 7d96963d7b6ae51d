package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/quarantine"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// QuarantinePath is the path, at the address of the metrics, of the prompt parts in quarantine: GET lists
// them, and DELETE with the parameters service and part releases one at all entries.
const QuarantinePath = "/quarantine"

// QuarantinedPart describes a part in quarantine to operators.
type QuarantinedPart struct {
	Service string `json:"service"`
	Part    string `json:"part"`
	// Strikes counts the quarantines of the part.
	Strikes int `json:"strikes"`
	// InTrial means that one request with the part is being tried.
	InTrial bool `json:"inTrial"`
	// LeftSeconds is the time until the part may be tried again, in seconds.
	LeftSeconds float64 `json:"leftSeconds"`
	// CrashedServers are the servers that ended under requests with the part, as far as this entry
	// concluded it itself.
	CrashedServers []string `json:"crashedServers,omitempty"`
}

// operatorHandler serves the metrics and the parts in quarantine.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+QuarantinePath, g.listQuarantine)
	mux.HandleFunc("DELETE "+QuarantinePath, g.liftQuarantine)
	mux.Handle("/", g.metrics.Handler)
	return mux
}

// Quarantine returns the parts in quarantine.
func (g *Gateway) Quarantine() []QuarantinedPart {
	list := []QuarantinedPart{}
	for _, s := range g.prompts.States(time.Now()) {
		part := QuarantinedPart{Service: s.Service, Part: s.ID, Strikes: s.Strikes, InTrial: s.InTrial, LeftSeconds: s.Left.Seconds()}
		for _, c := range s.Crashes {
			part.CrashedServers = append(part.CrashedServers, c.Server)
		}
		list = append(list, part)
	}
	return list
}

func (g *Gateway) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.Quarantine()); err != nil {
		g.log.Debug("the list of parts in quarantine was not sent", telemetry.Err(err))
	}
}

func (g *Gateway) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	p := quarantine.Part{Service: r.URL.Query().Get("service"), ID: r.URL.Query().Get("part")}
	if !g.prompts.Lift(time.Now(), p) {
		relay.WriteError(w, http.StatusNotFound, "part "+p.ID+" of service "+p.Service+" is not in quarantine; GET "+QuarantinePath+" lists the parts that are", 0)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
