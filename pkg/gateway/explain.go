package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fescuehub/fescuehub/pkg/relay"
)

// ExplainPath is the path, at the address of the metrics, that explains where a request would be sent now. Its
// parameters are host, path and tokens, the prompt tokens; the key of the organisation is in ExplainKeyHeader, since
// addresses of requests are often logged.
const (
	ExplainPath      = "/explain"
	ExplainKeyHeader = "Explain-Key"
)

// RequestExplanation says where a request would be sent now, and why.
type RequestExplanation struct {
	Route        string `json:"route"`
	Organisation string `json:"organisation"`
	Priority     int    `json:"priority"`
	// PromptTokens is the number of tokens that was asked for; it does not change the choice.
	PromptTokens int `json:"promptTokens"`
	// Refused is why the request would be refused before a service is chosen; empty if it would not.
	Refused string `json:"refused,omitempty"`
	// Services are the services of the route, of which one is drawn by weight.
	Services []ServiceExplanation `json:"services"`
}

// ServiceExplanation is the part of an explanation for one service.
type ServiceExplanation struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
	// Rule says how a server is chosen, and Cheapest is the ID of the server with the lowest cost.
	Rule     string `json:"rule"`
	Cheapest string `json:"cheapest"`
	// Waits and Refused are why the request would wait or be refused; empty if it would not.
	Waits   string `json:"waits,omitempty"`
	Refused string `json:"refused,omitempty"`
	// SlotWaitMS is the expected wait for a slot of the cheapest server, in milliseconds.
	SlotWaitMS int64                `json:"slotWaitMS"`
	Servers    []ExplainedCandidate `json:"servers"`
}

// ExplainedCandidate is a server of a service. Costs are in ordinary requests.
type ExplainedCandidate struct {
	Server string `json:"server"`
	Group  string `json:"group,omitempty"`
	// LeftOut is why the server is not used; empty for a candidate.
	LeftOut string `json:"leftOut,omitempty"`
	// Requests is the number of requests that the entry expects at the server.
	Requests     float64 `json:"requests"`
	Cost         float64 `json:"cost"`
	Load         float64 `json:"load"`
	Failures     float64 `json:"failures"`
	Unresponsive float64 `json:"unresponsive"`
	// Chance is the probability of the choice if the loads are predicted.
	Chance float64 `json:"chance,omitempty"`
}

// Explain returns where a request would be sent now. It changes no state and sends nothing. It reports false if
// this entry has no configuration or has not read the evacuations yet.
func (g *Gateway) Explain(now time.Time, host, path, key string, tokens int) (RequestExplanation, bool) {
	x := RequestExplanation{PromptTokens: tokens, Services: []ServiceExplanation{}}
	table := g.tableInForce()
	if table == nil {
		return x, false
	}
	route, ok := table.Route(host, path)
	if !ok {
		x.Refused = "no route matches the request's host and path"
		return x, true
	}
	q := &relay.Request{Host: host, Target: path, Arrived: now, Route: route, Priority: route.Priority}
	q.Key = key
	x.Route = route.Name
	if refused := authorise(table, q); refused != nil {
		x.Refused = refused.reason
		return x, true
	}
	x.Organisation, x.Priority = q.Organisation, q.Priority
	for _, target := range route.Targets {
		s := ServiceExplanation{Service: target.Service, Weight: target.Weight, Servers: []ExplainedCandidate{}}
		if service, ok := table.Service(target.Service); ok {
			q.Service = service
			g.explainService(now, q, &s)
		} else {
			s.Refused = "the configuration does not define the route's service"
		}
		x.Services = append(x.Services, s)
	}
	return x, true
}

// explainService sets what the balancer says about a request's service.
func (g *Gateway) explainService(now time.Time, q *relay.Request, s *ServiceExplanation) {
	e := g.balancer.Explain(now, q.Service)
	s.Rule, s.Waits, s.SlotWaitMS = e.Rule, string(e.Wait), e.SlotWait.Milliseconds()
	if e.Cheapest < 0 {
		s.Refused = "no backend server is available"
	} else {
		s.Cheapest = e.Servers[e.Cheapest].ID
		s.Refused = g.relay.RefusalOf(now, q, e.SlotWait)
	}
	for _, c := range e.Servers {
		s.Servers = append(s.Servers, ExplainedCandidate{
			Server: c.ID, Group: c.Group, LeftOut: c.LeftOut, Requests: c.Requests, Cost: c.Cost, Load: c.Load,
			Failures: c.Failures, Unresponsive: c.Unresponsive, Chance: c.Chance,
		})
	}
}

func (g *Gateway) explainRequest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	tokens := 0
	if text := query.Get("tokens"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			relay.WriteError(w, http.StatusBadRequest, "tokens must be a number that is not negative", 0)
			return
		}
		tokens = n
	}
	x, ok := g.Explain(time.Now(), query.Get("host"), query.Get("path"), r.Header.Get(ExplainKeyHeader), tokens)
	if !ok {
		relay.WriteError(w, http.StatusServiceUnavailable, "this entry has not read the configuration or the evacuations yet", startupRetryAfter)
		return
	}
	g.writeList(w, x)
}
