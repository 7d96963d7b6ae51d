package gateway

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/gossip"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/telemetry"
)

// FuzzMessages checks that no message of a peer makes an entry panic.
func FuzzMessages(f *testing.F) {
	for _, text := range []string{
		`{"entry":{"name":"b","seq":1,"ready":true,"next":{"servers":-5},"tl":{"servers":9223372036854775807},"load":{"x":{"n":-1}},"budget":{"s":{"Requests":-1}}}}`,
		`{"entry":{"name":"b","leave":{"x":1,"":0}}}`,
		`{"planner":{"service":"s","peer":"127.0.0.1:1"}}`, `{"planner":{"peer":"x"}}`,
		`{"digest":{"service":"s","peer":"127.0.0.1:1","state":"odd","ranks":[{"a":"h:1","r":-4,"p":-1}]}}`,
		`{"digest":{}}`, `{"subscribe":{}}`, `{}`,
	} {
		f.Add(text)
	}
	socket, err := gossip.Open(context.Background(), "127.0.0.1:0", zap.NewNop())
	if err != nil {
		f.Fatal(err)
	}
	g := New(settings.Instance{Name: "a", Bounds: settings.Bounds{RetryWindow: 10 * time.Second}}, nil, nil, zap.NewNop(), telemetry.NewMetrics())
	g.socket = socket
	f.Fuzz(func(_ *testing.T, text string) {
		var m gossip.Message
		if json.Unmarshal([]byte(text), &m) == nil {
			g.handleMessage(netip.MustParseAddrPort("127.0.0.1:1"), m)
		}
	})
}
