package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// OutcomeHeader is the response header with the Outcome of the request.
const OutcomeHeader = "Fescue-Outcome"

// contentType is the media type of problem documents (RFC 9457).
const contentType = "application/problem+json"

// Document is the problem JSON that callers receive (RFC 9457).
type Document struct {
	Type    string  `json:"type"`
	Title   Kind    `json:"title"`
	Status  int     `json:"status"`
	Detail  string  `json:"detail"`
	Remedy  string  `json:"remedy"`
	Outcome Outcome `json:"outcome,omitempty"`
	// RetryAfterSeconds is zero if the problem gives no time for a retry.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Document returns the problem JSON of e.
func (e *Error) Document() Document {
	return Document{
		Type:              "urn:fescuehub:problem:" + string(e.Kind),
		Title:             e.Kind,
		Status:            e.Status(),
		Detail:            e.Detail,
		Remedy:            e.Remedy,
		Outcome:           e.Outcome,
		RetryAfterSeconds: retryAfterSeconds(e.RetryAfter),
	}
}

// Status returns the HTTP status code for the kind of e.
func (e *Error) Status() int {
	switch e.Kind {
	case BadRequest, KeyUndated, BadSettings, BadTables:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case UnknownRoute:
		return http.StatusNotFound
	case UnknownOrganisation:
		return http.StatusForbidden
	case KeyReused, EditConflict, KeyExpired, AnswerNotKept, RefusedForEver, FencedOff, OwnerElsewhere, WrongIncarnation:
		return http.StatusConflict
	case Overloaded:
		return http.StatusTooManyRequests
	case DeadlineExceeded:
		return http.StatusGatewayTimeout
	case BackendUnreachable, TruncatedAnswer, MalformedAnswer, AnswerLost, NotCertified, BrokenFrame:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// Write sends err as a problem document.
func Write(w http.ResponseWriter, err error) {
	p := Of(err)
	doc := p.Document()
	w.Header().Set("Content-Type", contentType)
	if p.Outcome != "" {
		w.Header().Set(OutcomeHeader, string(p.Outcome))
	}
	if doc.RetryAfterSeconds > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(doc.RetryAfterSeconds))
	}
	w.WriteHeader(doc.Status)
	_ = json.NewEncoder(w).Encode(doc)
}

func retryAfterSeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}
