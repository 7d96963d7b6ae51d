package gossip_test

import (
	"encoding/hex"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evacuation"
	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// TestMessageOfBuildWithoutEvacuations guards against an entry that cannot read the state of one of the build before
// failure domains could be evacuated. The datagram was encoded by that build.
func TestMessageOfBuildWithoutEvacuations(t *testing.T) {
	data, err := hex.DecodeString("02a165656e747279a8646e616d656766726f6e742d3163696e6360637365710764616464726063646f6d60657265616479f5657265616473f4656c65617665a163692d3104")
	if err != nil {
		t.Fatal(err)
	}
	m, err := gossip.Decode(data)
	if err != nil || m.Entry == nil || m.Entry.Name != "front-1" || m.Entry.Sequence != 7 || m.Entry.Leaving["i-1"] != 4 || m.Entry.Evacuations != nil {
		t.Errorf("got %+v, %v", m.Entry, err)
	}
}

// TestBytesOfEvacuations guards against states of failure domains that cost many bytes in each message, or fill a
// datagram if operators write many records.
func TestBytesOfEvacuations(t *testing.T) {
	size := func(reports []evacuation.Report) int {
		data, err := gossip.Encode(gossip.Message{Entry: &gossip.EntryState{Name: "front-1", Evacuations: reports}})
		if err != nil {
			t.Fatal(err)
		}
		return len(data)
	}
	one := evacuation.Report{Domain: "zone-a", Evacuated: true, Timeline: 3, Next: 100_000, Inherited: true, Past: []int64{90_000, 80_000}}
	k := evacuation.New()
	for n := range 500 {
		k.Apply(evacuation.Record{Domain: string(rune('a'+n%26)) + string(make([]byte, n%200)), Evacuated: true, Offset: int64(1_000_000 + n)})
	}
	none := size(nil)
	first, all := size([]evacuation.Report{one})-none, size(k.Reports(func(string) bool { return true }))-none
	t.Logf("one domain %d bytes, 500 records %d", first, all)
	if first > 64 || all > 4096 {
		t.Errorf("one domain takes %d bytes and 500 records %d, want at most 64 and 4096", first, all)
	}
}
