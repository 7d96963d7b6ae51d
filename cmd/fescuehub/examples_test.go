package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/settings"
	"github.com/fescuehub/fescuehub/pkg/tables"
)

// TestExamplesAreConsistent checks the settings, instance lists and tables of both example
// deployments against each other. Each has 9 entries, 12 engines and 3 services in three failure
// domains.
func TestExamplesAreConsistent(t *testing.T) {
	for _, deployment := range []string{"arcos", "somes"} {
		t.Run(deployment, func(t *testing.T) { checkExample(t, filepath.Join("../../examples", deployment)) })
	}
}

func checkExample(t *testing.T, dir string) {
	data, err := os.ReadFile(filepath.Join(dir, "tables.json"))
	if err != nil {
		t.Fatal(err)
	}
	doc, faults := tables.Parse(data)
	for _, f := range faults {
		t.Error(f)
	}
	pools := make(map[string]int)
	for _, p := range doc.Pools {
		pools[p.Name] = 0
	}
	addresses := make(map[string]string)
	domains := make(map[string]bool)
	for _, i := range readInstances(t, dir) {
		domains[i.FailureDomain] = true
		for _, a := range instanceAddresses(t, dir, i) {
			if other, taken := addresses[a]; taken {
				t.Errorf("%s and %s both use %s", other, i.Name, a)
			}
			addresses[a] = i.Name
		}
		if _, known := pools[i.Pool]; i.Role == instancelist.Agent && !known {
			t.Errorf("%s is in pool %s, which the tables do not define", i.Name, i.Pool)
		}
		pools[i.Pool]++
	}
	if len(domains) != 3 || pools[""] != 9 || pools[doc.Pools[0].Name] != 12 || pools[doc.Pools[1].Name] != 3 {
		t.Errorf("%d failure domains, want 3; instances by pool %v, want 9 entries (without a pool), 12 in the first pool and 3 in the second", len(domains), pools)
	}
}

func readInstances(t *testing.T, dir string) []instancelist.Instance {
	data, err := os.ReadFile(filepath.Join(dir, "instances.json"))
	if err != nil {
		t.Fatal(err)
	}
	var list instancelist.List
	if err := json.Unmarshal(data, &list); err != nil {
		t.Fatal(err)
	}
	return list.Instances
}

// instanceAddresses loads the settings of the instance, checks them against the instance list, and
// returns all addresses in them.
func instanceAddresses(t *testing.T, dir string, i instancelist.Instance) []string {
	if i.Role == instancelist.Entry {
		s, err := settings.LoadEntry(filepath.Join(dir, i.Name+".json"))
		if err != nil {
			t.Fatal(err)
		}
		if s.CallerAddress != i.CallerAddress || s.PeerAddress != i.PeerAddress || s.FailureDomain != i.FailureDomain {
			t.Errorf("settings of %s differ from the instance list", i.Name)
		}
		return []string{s.CallerAddress, s.PeerAddress, s.OperatorAddress}
	}
	s, err := settings.LoadAgent(filepath.Join(dir, "agent-"+i.Name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	if s.DataAddress != i.DataAddress || s.ControlAddress != i.ControlAddress || s.Pool != i.Pool {
		t.Errorf("settings of %s differ from the instance list", i.Name)
	}
	return []string{s.DataAddress, s.ControlAddress, s.OperatorAddress, s.Backend.URL}
}
