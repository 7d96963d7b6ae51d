package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestExplainCommand checks that the key is sent in a header and not in the address, which may be logged, and that
// the answer names the servers that are left out.
func TestExplainCommand(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Explain-Key") != "secret" || strings.Contains(r.RequestURI, "secret") || r.URL.Query().Get("host") != "h" || r.URL.Query().Get("tokens") != "7" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_, _ = w.Write([]byte(`{"route":"chat","organisation":"escuelas","services":[{"service":"model","cheapest":"i-1","rule":"the cheapest of all","servers":[{"server":"i-1","cost":2},{"server":"i-2","leftOut":"it is at its rate limit"}]}]}`))
	}))
	defer entry.Close()
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	address := strings.TrimPrefix(entry.URL, "http://")
	for line, c := range map[string]struct {
		code int
		out  []string
		fail string
	}{
		"site explain --host h --path / --tokens 7 --key-file " + key + " --metrics " + address:  {0, []string{"organisation=escuelas", "cheapest=i-1", "server=i-1 group= cost=2.00", `server=i-2 group= leftOut="it is at its rate limit"`}, ""},
		"site explain --host h --path / --key-file " + key + ".missing --metrics " + address:     {1, nil, "read the key"},
		"site explain --host h --path / --tokens 7 --key-file " + key + " --metrics 127.0.0.1:1": {1, nil, "check the address"},
		"site explain --host h --metrics " + address:                                             {2, nil, "path"},
	} {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(line), &out, &errOut)
		if code != c.code || !strings.Contains(errOut.String(), c.fail) {
			t.Errorf("%s: code %d, %s%s", line, code, out.String(), errOut.String())
		}
		for _, want := range c.out {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %q in %s", line, want, out.String())
			}
		}
	}
}
