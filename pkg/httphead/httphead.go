// Package httphead checks the heads of HTTP responses. net/http accepts heads that are not valid (RFC 9112).
package httphead

import (
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxQuotedBytes bounds the bytes of a response that an error quotes.
const maxQuotedBytes = 80

// Error is the error of a response whose head is not valid. What it quotes of the response is cut and escaped.
type Error struct{ detail string }

// Error implements the error interface.
func (e *Error) Error() string { return "malformed response: " + e.detail }

// IsMalformed reports whether err's chain holds an Error.
func IsMalformed(err error) bool { return errors.HasType(err, (*Error)(nil)) }

// Check checks the head of a response as net/http returns it, final or informational. The error is an *Error.
func Check(r *http.Response) error {
	return checkStatus(r.StatusCode, r.Status)
}

// checkStatus checks a status code. No client of this system asks for another protocol.
func checkStatus(code int, line string) error {
	if code >= 100 && code != http.StatusSwitchingProtocols {
		return nil
	}
	return &Error{fmt.Sprintf("status %s; want a number from 100 to 999 and no other protocol", quote(line))}
}

// quote returns the beginning of a text in quotes, with all bytes escaped that are not printable ASCII characters.
func quote(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.QuoteToASCII(text[:maxQuotedBytes]) + "..."
	}
	return strconv.QuoteToASCII(text)
}
