package agent

import (
	"encoding/json"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/drain"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// operatorHandler serves health, metrics, status and the drain command.
func (a *Agent) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", a.metrics.Handler)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.serveReady)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.status())
	})
	mux.HandleFunc("GET /v1/writes", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.writes.status())
	})
	mux.HandleFunc("GET /v1/expert-map", a.maps.serveStatus)
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		a.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (a *Agent) serveReady(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	up := a.backendUp
	a.mu.Unlock()
	if a.lifecycle.Phase() != drain.Serving {
		problem.Write(w, problem.New(problem.Draining, "nothing needs to be done", "the agent is draining"))
		return
	}
	if !up {
		problem.Write(w, problem.New(problem.Unavailable, "start the backend server", "the backend server does not answer"))
		return
	}
	w.WriteHeader(http.StatusOK)
}
