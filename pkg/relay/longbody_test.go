package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// TestLongResponseIsWhole guards against sound responses that are broken off for their size: they are passed on as they
// arrive, so that they take no memory, and end with the request at the latest.
func TestLongResponseIsWhole(t *testing.T) {
	const pieces, piece = 65, 1 << 20
	framings := map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n", pieces*piece), "chunks": "Transfer-Encoding: chunked\r\n\r\n"}
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat("x", piece)
			a := newBackend(t, func(c *net.TCPConn, r *http.Request, _ int) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200 X\r\nSeal: s\r\nId: "+r.Header.Get("Id")+"\r\n"+framing)
				for n := 0; n < pieces && err == nil; n++ {
					if name == "chunks" {
						_, err = io.WriteString(c, chunk(text))
					} else {
						_, err = io.WriteString(c, text)
					}
				}
				if name == "chunks" {
					_, _ = io.WriteString(c, "0\r\n\r\n") // a failed write shows in the caller's response
				}
				return err == nil
			})
			r := route(fleet.Unsafe)
			r.Timeout = time.Minute
			s := newTestRelay(t, r, fleet.Service{}, 1000, a.server("a"))
			if status, body, _, err := s.send(context.Background(), "1"); err != nil || status != 200 || len(body) != pieces*piece {
				t.Errorf("status %d, %d bytes, %v; want all %d", status, len(body), err, pieces*piece)
			}
		})
	}
}
