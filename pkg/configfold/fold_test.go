package configfold

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

// corpus is a sequence of records with the result of each in fold version 1.
// Once the version has been released, a change of any result requires a new fold
// version.
var corpus = []struct{ record, want string }{
	{`{"foldVersion":1,"id":"a","changes":[{"table":"pools","name":"p","base":0,"value":{"name":"p","kind":"model","concurrency":8,"later":{"x":1}}}]}`, "accepted 1"},
	{`{"foldVersion":1,"id":"b","changes":[{"table":"routes","name":"r","base":0,"value":{"name":"r","pool":"p"}},{"table":"routes","name":"r","organisation":"o","base":0,"value":{"name":"o","share":2}}]}`, "accepted 2"},
	{`{"foldVersion":1,"id":"c","changes":[{"table":"pools","name":"p","base":0,"value":{"name":"p","kind":"model","concurrency":9}}]}`, "pools.p: the entry has changed since this edit was made"},
	{`{"foldVersion":1,"id":"d","changes":[{"table":"pools","name":"p","base":1}]}`, "routes.r.pool: there is no pool \"p\""},
	{`{"foldVersion":1,"id":"e","changes":[],"extra":1}`, "record: the edit has fields that its fold version does not have"},
	{`{"foldVersion":1,"id":"f","changes":[{"table":"pools","name":"q","base":0,"value":{"name":"q","kind":"model","concurrency":0}}]}`, "pools.q.concurrency: 0 is out of range"},
	{`{"foldVersion":1,"id":"g","changes":[{"table":"pools","name":"q","base":0,"value":{"name":"other","kind":"model","concurrency":1}}]}`, "pools.q: the value is not this pool"},
	{`{"foldVersion":1,"id":"h","changes":[{"table":"routes","name":"r","base":2,"value":{"name":"r","pool":"p","organisations":[{"name":"o"}]}}]}`, "routes.r: the value is not this route"},
	{`{"foldVersion":1,"id":"i","changes":[{"table":"routes","name":"r","organisation":"o","base":2}]}`, "routes.r.organisations: the edit takes the last organisation away, which would open the route to every one"},
	{`{"foldVersion":1,"id":"j","changes":[{"table":"routes","name":"s","organisation":"o","base":0,"value":{"name":"o"}}]}`, "routes.s.organisations: organisations are left of a route that is not in the table"},
	{`{"foldVersion":1,"id":"k","changes":[{"table":"other","name":"s","base":0,"value":{}}]}`, "other.s: unknown table"},
	{`not json`, "record: the record is not an edit"},
	{`{"foldVersion":0,"id":"l"}`, "record: the record is not an edit"},
	{"\x1f\x8bbroken", "record: the record is not an edit"},
	{`{"foldVersion":1,"id":"m","changes":[{"table":"routes","name":"r","organisation":"o","base":2,"value":{"name":"o","share":3}}]}`, "accepted 3"},
}

// corpusDigest is the digest after the corpus.
const corpusDigest = "91c9cc8d5144c89c092b4959d581321a"

func TestOutcomesOfFoldVersion1(t *testing.T) {
	s := Empty()
	for i, c := range corpus {
		next, result, err := Fold(s, int64(i), []byte(c.record))
		if err != nil {
			t.Fatal(err)
		}
		got := fmt.Sprintf("accepted %d", result.Version)
		if !result.Accepted {
			got = strictjson.Join(result.Faults)
		}
		if !strings.HasPrefix(got, c.want) {
			t.Errorf("record %d: %s, want %s", i, got, c.want)
		}
		s = next
	}
	if string(s.Pools["p"].Value) != `{"name":"p","kind":"model","concurrency":8,"later":{"x":1}}` {
		t.Errorf("the unknown field was not preserved: %s", s.Pools["p"].Value)
	}
	if s.Digest != corpusDigest {
		t.Errorf("digest %s differs from corpusDigest", s.Digest)
	}
}

func TestFoldStopsAtNewerRecord(t *testing.T) {
	s, _, err := Fold(Empty(), 0, []byte(`{"foldVersion":2,"id":{"new":"form"},"rules":[1]}`))
	if !problem.Is(err, problem.NewerRecord) || s.Offset != -1 {
		t.Fatal(s.Offset, err)
	}
}

// TestFoldDoesNotChangeEarlierStates guards against a fold that modifies a map
// shared with an earlier state. It folds random edits and compares the encoding
// of every state with its encoding before the later folds, and with the states of
// a second reader.
func TestFoldDoesNotChangeEarlierStates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var states []State
	var texts []string
	var records [][]byte
	s := Empty()
	for i := range 300 {
		record := randomEdit(random, s)
		next, _, err := Fold(s, int64(i), record)
		if err != nil {
			t.Fatal(err)
		}
		s = next
		records = append(records, record)
		states = append(states, s)
		texts = append(texts, text(t, s))
	}
	again := Empty()
	for i, record := range records {
		again, _, _ = Fold(again, int64(i), record)
		if text(t, states[i]) != texts[i] || text(t, again) != texts[i] {
			t.Fatalf("the state at offset %d differs", i)
		}
	}
	if s.Version < 50 {
		t.Fatalf("only %d edits were accepted", s.Version)
	}
}

func text(t *testing.T, s State) string {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func randomEdit(random *rand.Rand, s State) []byte {
	name := string(rune('a' + random.IntN(3)))
	c := Change{Table: Pools, Name: name, Base: s.Pools[name].Revision}
	switch random.IntN(3) {
	case 0:
		c.Value = []byte(fmt.Sprintf(`{"name":%q,"kind":"model","concurrency":%d}`, name, 1+random.IntN(9)))
	case 1:
		c = Change{Table: Routes, Name: name, Base: s.Routes[name].Revision, Value: []byte(fmt.Sprintf(`{"name":%q,"pool":"a"}`, name))}
	case 2:
		c = Change{Table: Routes, Name: name, Organisation: "o", Base: s.Organisations[name]["o"].Revision}
		if random.IntN(3) > 0 {
			c.Value = []byte(fmt.Sprintf(`{"name":"o","share":%d}`, random.IntN(9)))
		}
	}
	if random.IntN(10) == 0 {
		c.Base++
	}
	record, _ := Encode(Edit{FoldVersion: 1, ID: "e", Changes: []Change{c}})
	return record
}

// FuzzFold checks that two folds of any record have the same result, and that a record that was
// folded is recognised as the last one.
func FuzzFold(f *testing.F) {
	for _, c := range corpus {
		f.Add([]byte(c.record))
	}
	f.Add(CompressLong([]byte(`{"foldVersion":1,"id":"` + strings.Repeat("x", compressFrom) + `","changes":[]}`)))
	base := Empty()
	for i, c := range corpus[:2] {
		base, _, _ = Fold(base, int64(i), []byte(c.record))
	}
	f.Fuzz(func(t *testing.T, record []byte) {
		a, resultA, errA := Fold(base, 2, record)
		b, resultB, errB := Fold(base, 2, record)
		if (errA == nil) != (errB == nil) || text(t, a) != text(t, b) || fmt.Sprint(resultA) != fmt.Sprint(resultB) {
			t.Fatal("two folds of the same record have different results")
		}
		if errA == nil && (a.Offset != 2 || a.Version < base.Version || !a.IsLastRecord(record)) {
			t.Fatal(a.Offset, a.Version)
		}
	})
}
