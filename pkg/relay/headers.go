package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeaders returns a copy of headers without those that concern one connection.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies an answer's headers. The answer's type is never guessed.
func copyHeader(to, from http.Header) {
	for name, values := range EndToEndHeaders(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// WriteError writes an answer of the entry's own. A positive retryAfter tells the
// caller when to come back.
func WriteError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	body := reason + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body)) // a caller that has gone is seen by its context
}
