package httphead_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/fescuehub/fescuehub/pkg/httphead"
)

// TestErrorIsShortAndPrintable guards against log lines that hold what a server in trouble sends, at its whole length.
func TestErrorIsShortAndPrintable(t *testing.T) {
	const maxBytes = 500
	long := strings.Repeat("\x00 \xffé\r", 10_000)
	for name, err := range map[string]error{
		"status":       httphead.Check(&http.Response{StatusCode: 0, Status: "000 " + long}),
		"name":         httphead.Check(&http.Response{StatusCode: 200, Header: http.Header{long: {"x"}}}),
		"empty name":   httphead.CheckNames(http.Header{"": {"x"}}),
		"parser":       httphead.ParseError(errors.New(strings.Repeat("é", 10_000))),
		"parser, x":    httphead.ParseError(errors.New("x" + strings.Repeat("é", 10_000))),
		"short parser": httphead.ParseError(errors.New("x")),
	} {
		if !httphead.IsMalformed(err) {
			t.Errorf("%s: %v, want an error of a malformed response", name, err)
			continue
		}
		text := err.Error()
		if len(text) > maxBytes || strings.ContainsAny(text, "\x00\r") || !utf8.ValidString(text) {
			t.Errorf("%s: an error of %d bytes, %.60q; want at most %d printable ones", name, len(text), text, maxBytes)
		}
	}
}
