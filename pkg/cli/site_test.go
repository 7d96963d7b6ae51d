package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/platform"
)

// TestEventBytesAreChecked guards against an entry that starts with a bound on events which no stream meets, or which its
// memory cannot hold.
func TestEventBytesAreChecked(t *testing.T) {
	const entrySettings = `{"nodeName":"front-a-1","ip":"127.0.0.1","zone":"a","internalPorts":[7000,7015],"limits":{"memoryMb":8},
 "listen":{"front":"127.0.0.1:1","ready":"127.0.0.1:2","directory":"127.0.0.1:3"},"platform":{"address":"127.0.0.1:8"},
 "bounds":{"drainMs":2000,"graceS":8,"configApplyMs":2000,"retryBudgetRatio":0.2,"budgetWindowS":10,"retryBudgetFloor":94,"ttl_max_s":5}}`
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(entrySettings), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv(platform.SettingsPathEnv, path)
	for value, want := range map[string]string{
		"0": "from 1024 to 2097152", "-1": "from 1024 to 2097152", "2097153": "from 1024 to 2097152", "1MB": `run "fescuehub site entry --help"`,
	} {
		var out, errOut bytes.Buffer
		if code := Main([]string{"site", "entry", "--max-event-bytes", value}, &out, &errOut); code != 2 || !strings.Contains(errOut.String(), want) {
			t.Errorf("%s: exit code %d, %q; want 2 and %q", value, code, errOut.String(), want)
		}
	}
	for _, value := range []int{1024, 256 << 10, 2 << 20} {
		if s, err := loadEntry(value); err != nil || s.MaxEventBytes != value {
			t.Errorf("%d: got %d, %v", value, s.MaxEventBytes, err)
		}
	}
}
