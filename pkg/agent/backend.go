package agent

import (
	"context"
	"net/http"

	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/peer/plainservice"
	"github.com/fescuehub/fescuehub/pkg/routing"
	"github.com/fescuehub/fescuehub/pkg/settings"
)

// Backend is the backend server beside the agent.
type Backend interface {
	// Send hands the attempt to the backend server, once. The caller closes
	// the body of the response.
	Send(ctx context.Context, request agentlink.AttemptRequest, body []byte) (*http.Response, error)
	// Load reads the load. It fails while the backend server does not answer.
	Load(ctx context.Context) (routing.Load, error)
}

// NewBackend returns the backend that the settings describe.
func NewBackend(s settings.Agent) Backend {
	if s.Backend.Kind == settings.ServiceBackend {
		return serviceBackend{plainservice.New(s.Backend.URL)}
	}
	return engineBackend{engine.New(s.Backend.URL)}
}

type engineBackend struct{ client *engine.Client }

func (b engineBackend) Send(ctx context.Context, request agentlink.AttemptRequest, body []byte) (*http.Response, error) {
	return b.client.Complete(ctx, string(request.Attempt), request.Priority, body)
}

func (b engineBackend) Load(ctx context.Context) (routing.Load, error) {
	report, err := b.client.Load(ctx)
	return routing.Load{Running: report.Running, Waiting: report.Waiting, StepMS: report.StepMS}, err
}

type serviceBackend struct{ client *plainservice.Client }

func (b serviceBackend) Send(ctx context.Context, request agentlink.AttemptRequest, body []byte) (*http.Response, error) {
	header := request.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	if request.Key != "" {
		header.Set(plainservice.KeyHeader, request.Key)
	}
	return b.client.Do(ctx, plainservice.Call{Method: request.Method, Path: request.Path, Header: header, Body: body})
}

// Load of a plain service is not known: the service does not report any.
func (b serviceBackend) Load(context.Context) (routing.Load, error) {
	return routing.Load{}, nil
}
