package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestEvacuationsCommand checks that an operator can list the evacuated failure domains, and that an address where no
// entry runs is an error with a remedy.
func TestEvacuationsCommand(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/evacuations" {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(`[{"domain":"b","evacuated":true,"known":true,"timeline":2,"offset":11,"learnedFrom":"front-2","servers":24}]`))
	}))
	defer entry.Close()
	for address, c := range map[string]struct {
		code      int
		out, fail string
	}{
		strings.TrimPrefix(entry.URL, "http://"): {0, "domain=b evacuated=true known=true timeline=2 offset=11 learnedFrom=front-2 servers=24", ""},
		"127.0.0.1:1":                            {1, "", "check the address"},
	} {
		var out, errOut bytes.Buffer
		code := Main([]string{"site", "evacuations", "--metrics", address}, &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.fail) {
			t.Errorf("%s: exit code %d, output %q, error %q; want %d, %q, %q", address, code, out.String(), errOut.String(), c.code, c.out, c.fail)
		}
	}
}
