package cli

import (
	"bytes"
	"strings"
	"testing"
)

// TestUsageErrorsNameTheRemedy checks that invalid arguments run nothing, exit with code 2 and
// print an error that names the valid values or the --help command.
func TestUsageErrorsNameTheRemedy(t *testing.T) {
	for line, want := range map[string]string{
		"site entri":                         `run "fescuehub site --help"`,
		"site quarantine list":               `run "fescuehub site quarantine list --help"`,
		"demo now":                           `run "fescuehub demo --help"`,
		"soak --seeds 0":                     "write 1 or more",
		"soak --length 0s":                   "1s or more",
		"measure group --size huge":          "write small or large",
		"measure group --plots /does/not/be": "name a directory that exists",
		"demo --deployment neither":          "write arcos, somes or platform",
		"soak --seeds x":                     `run "fescuehub soak --help"`,
		"status":                             `run "fescuehub status --help"`,
		"config check":                       `run "fescuehub config check --help"`,
		"config check /does/not/be":          "name a file that can be read",
		"load compare /does/not/be /nor":     "name a file that can be read",
	} {
		var out, errOut bytes.Buffer
		if code := Main(strings.Fields(line), &out, &errOut); code != 2 || !strings.Contains(errOut.String(), want) {
			t.Errorf("%s: exit code %d, %q", line, code, errOut.String())
		}
	}
}
