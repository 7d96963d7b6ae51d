package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// TestResponseCutAtEachByteIsNotWhole guards against a caller that gets a success whose body is empty or short and looks
// whole, because its server stopped in the middle of the head or of the body and closed or reset the connection.
func TestResponseCutAtEachByteIsNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n"
	for name, c := range map[string]struct {
		kind     fleet.Kind
		response string
		body     string
	}{
		"length": {fleet.Unsafe, head + "Content-Length: 12\r\n\r\nwhole answer", "whole answer"},
		"chunks": {fleet.Unsafe, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n", "whole answer"},
		"events": {fleet.Streaming, head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"f\r\nid: 1\ndata: x\n\n\r\nf\r\nid: 2\ndata: y\n\n\r\n0\r\n\r\n", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n"},
	} {
		for way, end := range map[string]reply{"closed": closeConn, "reset": resetConn} {
			t.Run(name+"/"+way, func(t *testing.T) {
				t.Parallel()
				a := newBackend(t, func(conn *net.TCPConn, r *http.Request, n int) bool {
					id := r.Header.Get("Id")
					at, err := strconv.Atoi(id)
					if err != nil {
						t.Error(err)
						return false
					}
					fmt.Fprint(conn, strings.ReplaceAll(c.response[:at], "ID", id))
					return at == len(c.response) || end(conn, r, n)
				})
				s := newTestRelay(t, route(c.kind), fleet.Service{}, 1000, a.server("a"))
				for at := range len(c.response) + 1 {
					// The ID is the number of bytes that the server sends.
					status, body, _, err := s.send(context.Background(), strconv.Itoa(at))
					whole := err == nil && status == http.StatusOK
					if whole && body != c.body {
						t.Errorf("cut after %d of %d bytes: a whole response with the body %q", at, len(c.response), body)
					}
					if at == len(c.response) && !whole {
						t.Errorf("the uncut response: status %d, %v", status, err)
					}
				}
			})
		}
	}
}
