package agent

import (
	"fmt"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/standin/rawserver"
)

// TestRefusalNeedsCertificate guards against requests that count as not run because of a status: an engine may have run
// a request that it fails with 429 or 503. A refusal that the backend server certifies is one, whatever its status.
func TestRefusalNeedsCertificate(t *testing.T) {
	const certificate = "Fescue-Outcome: not-run\r\n"
	for kind, k := range requestKinds {
		for _, status := range []int{408, 421, 429, 503} {
			for name, fields := range map[string]string{"certified": certificate, "uncertified": "", "ran": "Fescue-Outcome: ran\r\n"} {
				t.Run(fmt.Sprint(kind, "/", status, "/", name), func(t *testing.T) {
					t.Parallel()
					a := newTestAgent(t, k.backend, rawserver.Answer{
						Text: fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\nbody", status, fields), AfterUpload: true,
					})
					got, err := a.send(t, k.request(a), 4)
					notRun := err != nil && problem.Of(err).Outcome == problem.NotRun
					if notRun != (fields == certificate) {
						t.Errorf("status %d, %v; want the outcome not-run only with a certificate", got.status, err)
					}
					if err == nil && got.status != status {
						t.Errorf("status %d, want the server's %d", got.status, status)
					}
				})
			}
		}
	}
}

// TestFailingEngineIsNotOverloaded guards against an engine that fails with 503 and passes for a healthy one that is full.
func TestFailingEngineIsNotOverloaded(t *testing.T) {
	for status, want := range map[int]problem.Kind{503: problem.NotCertified, 429: problem.Overloaded} {
		a := newTestAgent(t, requestKinds["model"].backend, rawserver.Answer{
			Text: fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 4\r\n\r\nbody", status), AfterUpload: true,
		})
		if _, err := a.send(t, requestKinds["model"].request(a), 4); !problem.Is(err, want) {
			t.Errorf("status %d: %v, want the kind %s", status, err, want)
		}
	}
}
