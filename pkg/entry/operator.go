package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// Status is what an entry tells operators.
type Status struct {
	Name          string            `json:"name"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	FailureDomain string            `json:"failureDomain"`
	Phase         string            `json:"phase"`
	Ready         bool              `json:"ready"`
	ConfigOffset  int64             `json:"configOffset"`
	ConfigVersion int64             `json:"configVersion"`
	// Configuration says how the entry follows the configuration.
	Configuration configuration.Status `json:"configuration"`
	// NotReady says why the entry is not ready.
	NotReady string `json:"notReady,omitempty"`
	InFlight int    `json:"inFlight"`
	// Replicas counts the agents that take work from the entry.
	Replicas int `json:"replicas"`
}

// operatorHandler serves health, metrics, status and the order to drain.
func (e *Entry) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.status()) })
	mux.HandleFunc("GET /v1/configuration", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.config.View().State) })
	mux.HandleFunc("GET /v1/burn", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.burn.snapshot(time.Now(), e.settings.Name))
	})
	mux.HandleFunc("GET /v1/agents", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.replicas.agentStatuses()) })
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		e.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (e *Entry) status() Status {
	notReady := ""
	// Readiness is read first: a ready entry has at least the configuration
	// that it was ready with.
	err := e.ready()
	config := e.follower.Status()
	if err != nil {
		notReady = problem.Of(err).Detail
	}
	return Status{
		Name:          e.settings.Name,
		Incarnation:   e.incarnation,
		FailureDomain: e.settings.FailureDomain,
		Phase:         e.lifecycle.Phase().String(),
		Ready:         err == nil,
		NotReady:      notReady,
		Configuration: config,
		ConfigOffset:  config.Offset,
		ConfigVersion: config.Version,
		InFlight:      e.lifecycle.InFlight(),
		Replicas:      e.ReplicaCount(),
	}
}

func (e *Entry) ready() error {
	if e.lifecycle.Phase() != drain.Serving {
		return problem.New(problem.Draining, "nothing needs to be done", "the entry is leaving")
	}
	return e.notReady()
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.ready(); err != nil {
		problem.Write(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
