package entry

import (
	"net/http"
	"strings"

	"github.com/fescuehub/fescuehub/pkg/peer/plainservice"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// hopHeaders are the headers of a single connection, which are not forwarded (RFC 9110, section
// 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func (e *Entry) serveService(w http.ResponseWriter, r *http.Request) {
	x, err := e.openService(w, r)
	if err != nil {
		e.refuse(w, withKeyOutcome(isOnlyRequest(r), err))
		return
	}
	x.prepareAnswer(w)
	if x.call != nil {
		w.Header().Set(plainservice.KeyHeader, x.call.Key.String())
	}
	e.serve(r.Context(), x)
}

func (e *Entry) openService(w http.ResponseWriter, r *http.Request) (*exchange, error) {
	if err := e.notReady(); err != nil {
		return nil, err
	}
	x, err := e.open(r, r.PathValue("route"))
	if err != nil {
		return nil, err
	}
	if x.pool.Kind != tables.Service {
		return nil, wrongKind(x, "/v1/chat/completions")
	}
	if x.body, err = e.readBody(w, r); err != nil {
		return nil, err
	}
	x.path = "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		x.path += "?" + r.URL.RawQuery
	}
	x.header = forwardedHeader(r.Header)
	if x.route.RunsAtMostOnce(r.Method) {
		return x, x.parseKey(r)
	}
	x.idempotent = isIdempotent(r.Method)
	return x, nil
}

// isIdempotent reports whether the method is idempotent (RFC 9110, section 9.2.2).
func isIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// forwardedHeader returns the header without the fields of the connection and of this system.
func forwardedHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, "Fescue-") {
			delete(out, name)
		}
	}
	return out
}
