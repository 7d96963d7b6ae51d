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

func shown(t *testing.T, s configfold.State) string {
	t.Helper()
	data, err := json.Marshal(DocumentOf(s))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func known(doc string) string {
	return strings.NewReplacer(`"later":1,`, "", `,"later":[1]`, "").Replace(doc)
}

// TestShowAndApplyKeepUnknownFields follows fields of a newer binary through
// the fold, show and apply of this one.
func TestShowAndApplyKeepUnknownFields(t *testing.T) {
	s, _ := publish(t, configfold.Empty(), known(document))
	if _, faults := Parse([]byte(document), s); len(faults) != 2 {
		t.Fatalf("unknown fields that are not in force: %v", faults)
	}
	var raw rawDocument
	if err := json.Unmarshal([]byte(document), &raw); err != nil {
		t.Fatal(err)
	}
	record, err := configfold.Encode(Diff(s, takeApart(raw), "newer"))
	if err != nil {
		t.Fatal(err)
	}
	s, result, err := configfold.Fold(s, 1, record)
	if err != nil || !result.Accepted {
		t.Fatal(result, err)
	}
	edited := strings.Replace(shown(t, s), `"concurrency":1`, `"concurrency":2`, 1)
	next, result := publish(t, s, edited)
	if !result.Accepted || !sameJSON([]byte(shown(t, next)), []byte(edited)) {
		t.Fatalf("%v: %s", result, shown(t, next))
	}
	wanted, _ := Parse([]byte(edited), next)
	if left := Diff(next, wanted, "again").Changes; len(left) > 0 {
		t.Fatalf("applying what show printed changes %v", left)
	}
}

// TestEditsOfDifferentOrganisationsDoNotConflict lets two operators edit one
// route at once, and stops them from opening it by taking away the last two
// organisations between them.
func TestEditsOfDifferentOrganisationsDoNotConflict(t *testing.T) {
	base, _ := publish(t, configfold.Empty(), known(document))
	without := func(organisation string) []byte {
		wanted, faults := Parse([]byte(strings.Replace(strings.Replace(known(document), organisation, "", 1), "[,", "[", 1)), base)
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

func FuzzParse(f *testing.F) {
	f.Add([]byte(document))
	f.Add([]byte(known(document)))
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
			t.Fatalf("what check takes, the fold rejects: %v %v", result, err)
		}
	})
}
