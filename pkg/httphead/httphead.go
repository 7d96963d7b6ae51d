// Package httphead checks the heads of HTTP responses, and says what their statuses promise. net/http accepts heads that are
// not valid (RFC 9112).
package httphead

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxQuotedBytes bounds the bytes of a response that an error quotes.
	maxQuotedBytes = 80
	// maxErrorBytes bounds the text of an error of net/http.
	maxErrorBytes = 160
)

// Error is the error of a response whose head is not valid or exceeds a limit. What it quotes of the response is cut and escaped.
type Error struct{ detail string }

// Error implements the error interface.
func (e *Error) Error() string { return "malformed response: " + e.detail }

// IsMalformed reports whether err's chain holds an Error.
func IsMalformed(err error) bool { return errors.HasType(err, (*Error)(nil)) }

// ParseError returns the Error for the error with which net/http failed to parse a head.
func ParseError(err error) error {
	text := err.Error() // net/http quotes and escapes what it repeats of the response, at its whole length
	if len(text) > maxErrorBytes {
		text = strings.ToValidUTF8(text[:maxErrorBytes], "") + "..."
	}
	return &Error{text}
}

// IsRefusal reports whether callers take a status for the statement that the request has not run and never will, so
// that they send it again.
func IsRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Check checks the head of a response as net/http returns it, final or informational. The error is an *Error.
func Check(r *http.Response) error {
	if err := checkStatus(r.StatusCode, r.Status); err != nil {
		return err
	}
	return CheckNames(r.Header)
}

// CheckNames checks the names of the fields of a response. net/http accepts blanks in them. The error is an *Error.
func CheckNames(fields map[string][]string) error {
	for name := range fields {
		if strings.ContainsFunc(name, isNoTokenCharacter) || name == "" {
			return &Error{fmt.Sprintf("field name %s; want letters, digits and %s", quote(name), tokenMarks)}
		}
	}
	return nil
}

// tokenMarks are the characters of a token (RFC 9110, section 5.6.2) besides letters and digits.
const tokenMarks = "!#$%&'*+-.^_|~`"

func isNoTokenCharacter(c rune) bool {
	return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune(tokenMarks, c))
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
