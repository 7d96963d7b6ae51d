//go:build review

package main

import (
	"io"
	"net/http"
)

// verdict is what a client can say of the answer to a safe request.
type verdict int

const (
	// failed: there is no complete answer, or it is not a replica's.
	failed verdict = iota
	// whole: the answer is the replica's.
	whole
	// wrong: the answer bears the replica's seal and looks complete, and is not the replica's.
	wrong
)

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// lookUp sends a safe request, one that fails at the replicas or one that does not.
func (w *world) lookUp(front, id string, fails bool) verdict {
	path, want, wantStatus := "/cufi504/pen", deskBody, http.StatusOK
	if fails {
		path, want, wantStatus = "/cufi504/unknown", deskFailure, http.StatusInternalServerError
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
	if err != nil {
		w.say("client: %s: %v", id, err)
		return failed
	}
	req.Host = host
	req.Header.Set("X-Fescuehub-Request-Id", id)
	req.Header.Set("X-Fescuehub-Request-Deadline-Ms", "1500")
	req.Header.Set("X-Fescuehub-Key", tenantKey)
	res, err := client.Do(req)
	if err != nil {
		w.say("client: %s: %v", id, err)
		return failed
	}
	defer res.Body.Close()
	got, err := io.ReadAll(res.Body)
	sealed := res.Header.Get("X-Fescuehub-Response-Seal") != ""
	w.say("client: %s got %d, sealed %v, Content-Length %d, %d bytes (%v)", id, res.StatusCode, sealed, res.ContentLength, len(got), err)
	switch {
	case !sealed || err != nil:
		return failed
	case res.StatusCode == wantStatus && string(got) == want:
		return whole
	}
	w.say("MIXED broken: %s got an answer of %d bytes that looks complete; the replica's has %d", id, len(got), len(want))
	return wrong
}
