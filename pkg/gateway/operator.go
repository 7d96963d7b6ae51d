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
	// Part is the ID of the part, or the fingerprint of a request that comes again.
	Part string `json:"part"`
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

// RateLimitsPath is the path, at the address of the metrics, of the rate limits that backend servers have
// stated.
const RateLimitsPath = "/rate-limits"

// RateLimit describes the rate limit of a backend server to operators.
type RateLimit struct {
	Server string `json:"server"`
	// Stated and Permitted are requests per second: the limit that the server stated last, and the rate at
	// which this entry grants permits, if it is the granter.
	Stated    float64 `json:"stated"`
	Permitted float64 `json:"permitted"`
	// Ended means that the server does not state the limit any more; the permitted rate rises.
	Ended bool `json:"ended"`
	// AgeSeconds is the time since the newest statement, and LearnedFrom the entry that received it.
	AgeSeconds  float64 `json:"ageSeconds"`
	LearnedFrom string  `json:"learnedFrom"`
	// Granter is the entry that grants the permits for the server.
	Granter string `json:"granter"`
	// Sent, Denied and Granted count, at this entry, the requests that were sent to the server, the permits
	// that it did not get, and those that it has granted.
	Sent    int `json:"sent"`
	Denied  int `json:"denied"`
	Granted int `json:"granted"`
}

// EvacuationsPath is the path, at the address of the metrics, of the failure domains that operators have
// evacuated.
const EvacuationsPath = "/evacuations"

// Evacuation describes a failure domain that operators have evacuated, or returned to service, to operators.
type Evacuation struct {
	Domain    string `json:"domain"`
	Evacuated bool   `json:"evacuated"`
	// Known is false if neither the settings nor any server name the domain.
	Known bool `json:"known"`
	// Timeline and Offset are the position in the shared log after the record that states it.
	Timeline int64 `json:"timeline"`
	Offset   int64 `json:"offset"`
	// LearnedFrom is the entry from which this one heard it; its own name if it read the log.
	LearnedFrom string `json:"learnedFrom"`
	// Servers is the number of announced backend servers in the domain.
	Servers int `json:"servers"`
}

// operatorHandler serves the metrics, the parts in quarantine, the rate limits, the evacuations and explanations.
func (g *Gateway) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+QuarantinePath, g.listQuarantine)
	mux.HandleFunc("DELETE "+QuarantinePath, g.liftQuarantine)
	mux.HandleFunc("GET "+RateLimitsPath, g.listRateLimits)
	mux.HandleFunc("GET "+EvacuationsPath, g.listEvacuations)
	mux.HandleFunc("GET "+ExplainPath, g.explainRequest)
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
	g.writeList(w, g.Quarantine())
}

// RateLimits returns the rate limits that are in force.
func (g *Gateway) RateLimits() []RateLimit {
	list := []RateLimit{}
	for _, s := range g.rateLimits.States(time.Now()) {
		limit := RateLimit{
			Server: s.Server, Stated: s.Stated, Permitted: s.Permitted, Ended: s.Ended, AgeSeconds: s.Age.Seconds(), LearnedFrom: s.LearnedFrom,
			Granter: s.Granter, Sent: s.Sent, Denied: s.Denied, Granted: s.Granted,
		}
		if limit.LearnedFrom == "" {
			limit.LearnedFrom = g.settings.Name
		}
		list = append(list, limit)
	}
	return list
}

func (g *Gateway) listRateLimits(w http.ResponseWriter, _ *http.Request) {
	g.writeList(w, g.RateLimits())
}

// Evacuations returns the failure domains that have had a record.
func (g *Gateway) Evacuations() []Evacuation {
	list := []Evacuation{}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.evacuations.States() {
		e := Evacuation{
			Domain: s.Domain, Evacuated: s.Evacuated, Known: g.isKnownDomain(s.Domain), Timeline: int64(s.Position.Timeline), Offset: s.Position.Next,
			LearnedFrom: s.LearnedFrom, Servers: g.serversIn(s.Domain),
		}
		if e.LearnedFrom == "" {
			e.LearnedFrom = g.settings.Name
		}
		list = append(list, e)
	}
	return list
}

func (g *Gateway) listEvacuations(w http.ResponseWriter, _ *http.Request) {
	g.writeList(w, g.Evacuations())
}

// writeList writes a list or another answer for operators.
func (g *Gateway) writeList(w http.ResponseWriter, list any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(list); err != nil {
		g.log.Debug("a list for operators was not sent", telemetry.Err(err))
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
