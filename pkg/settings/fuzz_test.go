package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// FuzzLoad loads arbitrary files as the settings of an entry and of an agent. A
// file must either be accepted, with defaults filled in, or be refused with an
// error of the kind BadSettings.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"name":"e","failureDomain":"d","callerAddress":"127.0.0.1:1","peerAddress":"127.0.0.1:2","operatorAddress":"127.0.0.1:3","logURL":"http://127.0.0.1:4","instancesURL":"http://127.0.0.1:5"}`))
	f.Add([]byte(`{"name":"a","pool":"p","dataAddress":"[::1]:1","logURL":"x://","backend":{"kind":"engine","url":"http://h"}}`))
	f.Add([]byte(`{"logRetentionSeconds":-1,"x":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := filepath.Join(t.TempDir(), "settings.json")
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		entry, err := LoadEntry(path)
		if err != nil && !problem.Is(err, problem.BadSettings) || err == nil && entry.LogRetentionSeconds <= 0 {
			t.Fatal(entry, err)
		}
		if _, err := LoadAgent(path); err != nil && !problem.Is(err, problem.BadSettings) {
			t.Fatal(err)
		}
	})
}
