package rankagent

import (
	"math"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

func TestSavedDemandRoundTrip(t *testing.T) {
	shape := rankcontrol.Shape{Sets: 2, Experts: 2, Ranks: 4}
	shares := []float64{0.5, 0.25, 0.25, 0}
	data, err := encodeDemand(shape, shares)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeDemand(data)
	if err != nil {
		t.Fatal(err)
	}
	for i, share := range shares {
		if math.Abs(got[i]-share) > 1e-4 {
			t.Errorf("expert %d: share %v, want %v", i, got[i], share)
		}
	}
}

// FuzzDecodeDemand checks that no record makes a planner panic or allocate without bound, and that
// decoded shares are a distribution.
func FuzzDecodeDemand(f *testing.F) {
	for _, text := range []string{
		`{"sets":1,"experts":2,"shares":"AAEAAQ=="}`, `{"sets":1,"experts":2,"shares":"AAAAAA=="}`, `{"sets":-1,"experts":2}`,
		`{"sets":1000000000,"experts":1000000000,"shares":""}`, `{"sets":1,"experts":3,"shares":"AAEAAQ=="}`, `[]`, "", "x",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		shares, err := decodeDemand(data)
		if err != nil {
			return
		}
		total := 0.0
		for _, share := range shares {
			total += share
		}
		if math.Abs(total-1) > 1e-6 {
			t.Errorf("the shares add up to %v, want 1", total)
		}
	})
}
