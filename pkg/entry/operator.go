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

// Status is the state of an entry as shown to operators.
type Status struct {
	Name          string            `json:"name"`
	Incarnation   ident.Incarnation `json:"incarnation"`
	FailureDomain string            `json:"failureDomain"`
	Phase         string            `json:"phase"`
	Ready         bool              `json:"ready"`
	ConfigOffset  int64             `json:"configOffset"`
	ConfigVersion int64             `json:"configVersion"`
	// Configuration is the state of the configuration follower.
	Configuration configuration.Status `json:"configuration"`
	// NotReady is the reason why the entry is not ready.
	NotReady string `json:"notReady,omitempty"`
	InFlight int    `json:"inFlight"`
	// Replicas counts the agents that accept new work from the entry.
	Replicas int `json:"replicas"`
}

// operatorHandler serves health checks, metrics, status and the drain command.
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
	// Readiness is read before the configuration status: the reported offset is then at least
	// the one that the entry became ready with.
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
		return problem.New(problem.Draining, "no action needed", "the entry is draining")
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
