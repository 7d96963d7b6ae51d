package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/relay"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// TestExplainKnowsOrderOfPriorities guards against an explanation that says that an urgent request would be refused because
// of requests that it overtakes at the engines.
func TestExplainKnowsOrderOfPriorities(t *testing.T) {
	g := New(settings.Instance{Name: "entry0", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	service := fleet.Service{Name: "model", Engine: &fleet.Engine{Slots: 1}}
	r := fleet.Route{Name: "chat", Host: "h", PathPrefix: "/v1", Kind: fleet.Streaming, Timeout: 10 * time.Second, TargetLatency: time.Second, Targets: []fleet.Target{{Service: "model", Weight: 1}}}
	g.table.Store(fleet.NewTable(fleet.Configuration{Routes: []fleet.Route{r}, Services: []fleet.Service{service}}))
	g.operatorsRead = true
	g.balancer.SetServers([]fleet.Server{{ID: "r0", Service: "model", Address: "10.0.0.1:1", Incarnation: 1}})
	gone, leave := context.WithCancel(context.Background())
	leave()
	for n := range 40 { // nine of ten requests are less urgent; their callers leave at once
		priority := min(n%10, 1)
		g.relay.Serve(gone, httptest.NewRecorder(), &relay.Request{Route: &r, Service: &service, Priority: priority, Arrived: time.Now()})
	}
	for range 8 { // 13.6 s until a slot is free, of which the urgent request waits for a tenth
		g.balancer.Begin(time.Now(), "r0", 0)
	}
	x, ok := g.Explain(time.Now(), "h", "/v1", "", 0)
	if !ok || len(x.Services) != 1 || x.Services[0].Refused != "" || x.Services[0].SlotWaitMS < 4000 {
		t.Errorf("%+v", x)
	}
}

// TestExplain checks what an operator is told about a request, and that its key is neither logged nor returned.
func TestExplain(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	g := New(settings.Instance{Name: "entry0", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.New(core), telemetry.NewMetrics())
	handler := g.operatorHandler()
	get := func(query, key string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, ExplainPath+"?"+query, nil)
		r.Header.Set(ExplainKeyHeader, key)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		return w
	}
	if w := get("host=h&path=/v1", "secret"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: status %d", w.Code)
	}
	g.table.Store(fleet.NewTable(fleet.Configuration{
		Version:       1,
		Routes:        []fleet.Route{{Name: "chat", Host: "h", PathPrefix: "/v1", Kind: fleet.Streaming, Timeout: 10 * time.Second, TargetLatency: time.Second, Targets: []fleet.Target{{Service: "model", Weight: 1}}}},
		Services:      []fleet.Service{{Name: "model", Engine: &fleet.Engine{Slots: 1}}},
		Organisations: []fleet.Organisation{{Name: "escuelas", Keys: []string{"secret"}}},
	}))
	if w := get("host=h&path=/v1", "secret"); w.Code != http.StatusServiceUnavailable {
		t.Errorf("before the evacuations have been read: status %d", w.Code)
	}
	g.operatorsRead = true
	g.balancer.SetServers([]fleet.Server{{ID: "r0", Service: "model", Address: "10.0.0.1:1", Incarnation: 1}})
	for _, c := range []struct {
		query, key                      string
		busy                            int
		organisation, refused, cheapest string
	}{
		{"host=h&path=/v1/x&tokens=5", "secret", 0, "escuelas", "", "r0"},
		{"host=h&path=/other", "secret", 0, "", "no route matches", ""},
		{"host=h&path=/v1", "unknown", 0, "", "belongs to no organisation", ""},
		{"host=h&path=/v1", "secret", 20, "escuelas", "expected wait of", "r0"},
	} {
		for range c.busy {
			g.balancer.Begin(time.Now(), "r0", 0)
		}
		w := get(c.query, c.key)
		var x RequestExplanation
		if err := json.Unmarshal(w.Body.Bytes(), &x); err != nil || w.Code != http.StatusOK {
			t.Fatalf("%s: status %d, %v", c.query, w.Code, err)
		}
		refused, cheapest := x.Refused, ""
		if len(x.Services) > 0 {
			refused, cheapest = x.Services[0].Refused, x.Services[0].Cheapest
		}
		if x.Organisation != c.organisation || cheapest != c.cheapest || !strings.Contains(refused, c.refused) || c.refused == "" && refused != "" {
			t.Errorf("%s: %s", c.query, w.Body)
		}
		if strings.Contains(w.Body.String(), "secret") {
			t.Errorf("%s: the answer contains the key", c.query)
		}
	}
	if w := get("host=h&path=/v1&tokens=-1", "secret"); w.Code != http.StatusBadRequest {
		t.Errorf("negative tokens: status %d", w.Code)
	}
	for _, entry := range logs.All() {
		if text, _ := json.Marshal(entry.ContextMap()); strings.Contains(string(text), "secret") {
			t.Errorf("the key is logged: %s %s", entry.Message, text)
		}
	}
}
