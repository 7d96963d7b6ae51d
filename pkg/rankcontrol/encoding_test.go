package rankcontrol_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/evenplan"
	"github.com/fescuehub/fescuehub/pkg/rankcontrol"
)

// TestPackedMapRoundTrip guards the size of a large group's map: agents send it to all ranks at once.
func TestPackedMapRoundTrip(t *testing.T) {
	m := rankcontrol.Map(evenplan.Uniform(8, 252, 63))
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var got rankcontrol.Map
	if err := json.Unmarshal(data, &got); err != nil || !reflect.DeepEqual(got, m) {
		t.Fatalf("the decoded map differs: %v, %d sets", err, len(got))
	}
	if len(data) > 5000 {
		t.Errorf("a map of 63 ranks takes %d bytes", len(data))
	}
}

// FuzzMap checks that any text decodes either to a map that can be encoded again, or to an error.
func FuzzMap(f *testing.F) {
	f.Add(`"AQIBAAEB"`)
	f.Add(`""`)
	f.Add(`"//8="`)
	f.Fuzz(func(t *testing.T, text string) {
		var m rankcontrol.Map
		if json.Unmarshal([]byte(text), &m) != nil {
			return
		}
		if _, err := json.Marshal(m); err != nil {
			t.Fatal(err)
		}
	})
}
