package quarantine_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/quarantine"
)

// TestFingerprintTellsRequestsApart guards against a request that is refused because another one, with
// another path, caller or body, crashes servers, and against one that is not recognised when it comes again.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	base := quarantine.Identity{Method: "POST", Host: "h.example", Target: "/a/b?c=1", Caller: "org", Body: []byte("body")}
	change := func(change func(*quarantine.Identity)) string {
		other := base
		change(&other)
		return quarantine.Fingerprint(other)
	}
	for name, c := range map[string]struct {
		id   string
		same bool
	}{
		"the same request":         {quarantine.Fingerprint(base), true},
		"host in capitals":         {change(func(i *quarantine.Identity) { i.Host = "H.EXAMPLE" }), true},
		"method":                   {change(func(i *quarantine.Identity) { i.Method = "PUT" }), false},
		"host":                     {change(func(i *quarantine.Identity) { i.Host = "g.example" }), false},
		"path":                     {change(func(i *quarantine.Identity) { i.Target = "/a/c?c=1" }), false},
		"query":                    {change(func(i *quarantine.Identity) { i.Target = "/a/b?c=2" }), false},
		"caller":                   {change(func(i *quarantine.Identity) { i.Caller = "other" }), false},
		"body":                     {change(func(i *quarantine.Identity) { i.Body = []byte("bodY") }), false},
		"parts of the prompt":      {change(func(i *quarantine.Identity) { i.SharedParts = []string{"aa"} }), false},
		"no body":                  {change(func(i *quarantine.Identity) { i.Body = nil }), false},
		"bytes moved to the body":  {change(func(i *quarantine.Identity) { i.Caller, i.Body = "or", []byte("gbody") }), false},
		"bytes moved to the query": {change(func(i *quarantine.Identity) { i.Target, i.Caller = "/a/b?c=1o", "rg" }), false},
	} {
		if same := c.id == quarantine.Fingerprint(base); same != c.same {
			t.Errorf("%s: same fingerprint: %v, want %v", name, same, c.same)
		}
	}
	id := quarantine.Fingerprint(base)
	if !quarantine.IsFingerprint(id) || quarantine.IsFingerprint("5c1e07a2") || len(id) > 32 {
		t.Errorf("fingerprint %q (%d bytes) is not told from a part, or is longer than the 32 bytes of an ID", id, len(id))
	}
	if strings.Contains(id, "org") || strings.Contains(id, "body") {
		t.Errorf("fingerprint %q reveals the caller or the body", id)
	}
}

// BenchmarkFingerprint measures what the fingerprint of one request costs, by the size of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			i := quarantine.Identity{Method: "POST", Host: "h.example", Target: "/a/b", Caller: "org", Body: make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				quarantine.Fingerprint(i)
			}
		})
	}
}
