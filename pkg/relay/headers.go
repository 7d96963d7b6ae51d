package relay

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxServerPause bounds the pause of a server that asks for more: it is then tried once per
	// MaxServerPause.
	MaxServerPause = 5 * time.Minute
	// maxPauseJitter bounds the random extension of a server's pause.
	maxPauseJitter = time.Second
)

// serverPause returns the pause that a Retry-After in seconds asks for. It returns false for a value
// that is not a number of seconds from 0 to MaxServerPause; a larger number is reduced to that.
func serverPause(value string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return 0, false
	}
	if s > MaxServerPause.Seconds() {
		return MaxServerPause, false
	}
	return time.Duration(s * float64(time.Second)), true
}

// hopByHopHeaders are the hop-by-hop headers, which apply to a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeaders returns a copy of the headers without the hop-by-hop ones.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyHeader copies the end-to-end headers of a response. It suppresses the content type detection
// of net/http.
func copyHeader(to, from http.Header) {
	for name, values := range EndToEndHeaders(from) {
		to[name] = values
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil
	}
}

// WriteError writes an error response of the entry itself. A positive retryAfter is sent as
// Retry-After, in seconds.
func WriteError(w http.ResponseWriter, status int, reason string, retryAfter time.Duration) {
	body := reason + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte(body)) // a disconnected caller cancels the request's context
}
