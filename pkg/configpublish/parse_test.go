package configpublish

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/strictjson"
)

const document = `{"routes":[{"name":"r","pool":"p","later":1,"organisations":[{"name":"o","share":2,"later":[1]},{"name":"q"}]}],
 "pools":[{"name":"p","kind":"model","concurrency":1}]}`

// publish folds the edit that leads from the state to the document.
func publish(t *testing.T, s configfold.State, doc string) (configfold.State, configfold.Result) {
	t.Helper()
	wanted, faults := Parse([]byte(doc), s)
	if len(faults) > 0 {
		t.Fatal(strictjson.Join(faults))
	}
	record, err := configfold.Encode(Diff(s, wanted, "edit"))
	if err != nil {
		t.Fatal(err)
	}
	next, result, err := configfold.Fold(s, s.Offset+1, record)
	if err != nil {
		t.Fatal(err)
	}
	return next, result
}

func showDocument(t *testing.T, s configfold.State) string {
	t.Helper()
	data, err := json.Marshal(DocumentOf(s))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func withoutUnknownFields(doc string) string {
	return strings.NewReplacer(`"later":1,`, "", `,"later":[1]`, "").Replace(doc)
}

// TestShowAndApplyKeepUnknownFields guards against the loss of fields that a
// newer binary has written when this binary folds, shows and applies the
// configuration. Unknown fields that are not in force are faults.
func TestShowAndApplyKeepUnknownFields(t *testing.T) {
	s, _ := publish(t, configfold.Empty(), withoutUnknownFields(document))
	if _, faults := Parse([]byte(document), s); len(faults) != 2 {
		t.Fatalf("unknown fields that are not in force: %v", faults)
	}
	var raw rawDocument
	if err := json.Unmarshal([]byte(document), &raw); err != nil {
		t.Fatal(err)
	}
	record, err := configfold.Encode(Diff(s, split(raw), "newer"))
	if err != nil {
		t.Fatal(err)
	}
	s, result, err := configfold.Fold(s, 1, record)
	if err != nil || !result.Accepted {
		t.Fatal(result, err)
	}
	edited := strings.Replace(showDocument(t, s), `"concurrency":1`, `"concurrency":2`, 1)
	next, result := publish(t, s, edited)
	if !result.Accepted || !sameJSON([]byte(showDocument(t, next)), []byte(edited)) {
		t.Fatalf("%v: %s", result, showDocument(t, next))
	}
	wanted, _ := Parse([]byte(edited), next)
	if left := Diff(next, wanted, "again").Changes; len(left) > 0 {
		t.Fatalf("applying the unchanged output of show makes changes: %v", left)
	}
}

// TestEditsOfDifferentOrganisationsDoNotConflict publishes concurrent edits of
// different organisations of a route, which do not conflict. If each removes one
// of the last two organisations, the second edit must be rejected: a route without
// organisations admits all of them. Only an edit of the route itself may open it.
func TestEditsOfDifferentOrganisationsDoNotConflict(t *testing.T) {
	base, _ := publish(t, configfold.Empty(), withoutUnknownFields(document))
	without := func(organisation string) []byte {
		wanted, faults := Parse([]byte(strings.Replace(strings.Replace(withoutUnknownFields(document), organisation, "", 1), "[,", "[", 1)), base)
		if len(faults) > 0 {
			t.Fatal(strictjson.Join(faults))
		}
		record, err := configfold.Encode(Diff(base, wanted, "edit"))
		if err != nil {
			t.Fatal(err)
		}
		return record
	}
	first, result, _ := configfold.Fold(base, 1, without(`,{"name":"q"}`))
	if !result.Accepted {
		t.Fatal(result)
	}
	_, result, _ = configfold.Fold(first, 2, without(`{"name":"o","share":2}`))
	if result.Accepted || !strings.Contains(strictjson.Join(result.Faults), "would open the route") {
		t.Fatal(result)
	}
	opened, result := publish(t, first, `{"routes":[{"name":"r","pool":"p"}],"pools":[{"name":"p","kind":"model","concurrency":1}]}`)
	if !result.Accepted || len(opened.Organisations) != 0 {
		t.Fatal(result)
	}
	gone, result := publish(t, first, `{"routes":[],"pools":[]}`)
	if !result.Accepted || len(gone.Routes)+len(gone.Pools)+len(gone.Organisations) != 0 {
		t.Fatal(result)
	}
}

// FuzzParse checks that the fold accepts the edit of every document that Parse accepts.
func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	f.Add([]byte(withoutUnknownFields(document)))
	f.Add([]byte(`{"routes":[null],"pools":[{"name":"p","kind":"x","concurrency":-1}]}`))
	f.Add([]byte(`{"routes":{"a":1}} {}`))
	s := configfold.Empty()
	f.Fuzz(func(t *testing.T, data []byte) {
		wanted, faults := Parse(data, s)
		if len(faults) > 0 {
			return
		}
		record, err := configfold.Encode(Diff(s, wanted, "edit"))
		if err != nil {
			t.Fatal(err)
		}
		if _, result, err := configfold.Fold(s, 0, record); err != nil || !result.Accepted {
			t.Fatalf("Parse accepts the document but the fold rejects it: %v %v", result, err)
		}
	})
}
