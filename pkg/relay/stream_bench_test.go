package relay_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/relay"
)

// discardResponse is a ResponseWriter that counts the bytes of a body.
type discardResponse struct {
	header http.Header
	bytes  int
}

func (d *discardResponse) Header() http.Header { return d.header }
func (d *discardResponse) WriteHeader(int)     {}
func (d *discardResponse) Flush()              {}
func (d *discardResponse) Write(p []byte) (int, error) {
	d.bytes += len(p)
	return len(p), nil
}

// BenchmarkStream measures what a stream of 1,000 events costs an entry, from its request to its end.
func BenchmarkStream(b *testing.B) {
	const events = 1000
	var body strings.Builder
	for n := range events {
		body.WriteString(event(n + 1))
	}
	text := streamHead("Content-Length: "+strconv.Itoa(body.Len())+"\r\n") + body.String()
	server := newBackend(b, func(c *net.TCPConn, r *http.Request, _ int) bool {
		_, err := c.Write([]byte(strings.Replace(text, "ID", r.Header.Get("Id"), 1)))
		return err == nil
	})
	resumable := route(fleet.Streaming)
	resumable.Resumable = true
	s := newTestRelay(b, resumable, fleet.Service{}, 1000, server.server("a"))
	b.ReportAllocs()
	for n := range b.N {
		w := &discardResponse{header: make(http.Header)}
		report := s.relay.Serve(context.Background(), w, &relay.Request{
			CallerHeaders: relay.CallerHeaders{ID: strconv.Itoa(n)}, Route: &resumable, Service: &fleet.Service{Name: "s"},
			Method: http.MethodPost, Target: "/p", Host: "h", Header: http.Header{"Id": {strconv.Itoa(n)}}, Arrived: time.Now(),
		})
		if report.Aborted || w.bytes != body.Len() {
			b.Fatalf("%d bytes of %d: %+v", w.bytes, body.Len(), report)
		}
	}
}
