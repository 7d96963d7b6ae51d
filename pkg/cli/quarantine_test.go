package cli

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestQuarantineCommands checks that an operator can list the refused parts and release one, and that a part
// that is not refused, or an address where no entry runs, is an error with a remedy.
func TestQuarantineCommands(t *testing.T) {
	released := ""
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			_, _ = w.Write([]byte(`[{"service":"model","part":"91bd3f06","strikes":2,"leftSeconds":119.6,"crashedServers":["i-1","i-2"]}]`))
		case r.URL.Query().Get("part") == "91bd3f06" && r.URL.Query().Get("service") == "model":
			released = "91bd3f06"
			w.WriteHeader(http.StatusNoContent)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	for line, c := range map[string]struct {
		code      int
		out, fail string
	}{
		"site quarantine list --metrics " + address:                                     {0, "part=91bd3f06 strikes=2 inTrial=false left=120s crashedServers=i-1,i-2", ""},
		"site quarantine release --service model --part 91bd3f06 --metrics " + address:  {0, "", ""},
		"site quarantine release --service model --part other --metrics " + address:     {2, "", "fescuehub site quarantine list"},
		"site quarantine release --service model --part 91bd3f06 --metrics 127.0.0.1:1": {1, "", "check the address"},
		"site quarantine list --metrics 127.0.0.1:1":                                    {1, "", "check the address"},
	} {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(line), &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.fail) {
			t.Errorf("%s: exit code %d, output %q, error %q; want %d, %q, %q", line, code, out.String(), errOut.String(), c.code, c.out, c.fail)
		}
	}
	if released != "91bd3f06" {
		t.Error("the part was not released at the entry")
	}
}
