package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	decision "github.com/fescuehub/fescuehub/pkg/membership"
	"github.com/fescuehub/fescuehub/pkg/routing"
)

// Stampede is the dial load of a simultaneous start of all entries.
type Stampede struct {
	Rules string `json:"rules"`
	// DialsInFirstWindow is the number of dials of all entries within the first stampedeWindow.
	// MaxDialsPerReplica is the highest number of dials at one replica in any stampedeWindow.
	DialsInFirstWindow int `json:"dialsInFirst100ms"`
	MaxDialsPerReplica int `json:"worstReplicaIn100ms"`
	// TotalDials is the number of dials until every entry is linked to all agents of its subset.
	TotalDials int `json:"dials"`
	// AllLinkedSeconds is the time at which the last link is open.
	AllLinkedSeconds float64 `json:"allLinkedSeconds"`
}

const (
	stampedeEntries  = 410
	stampedeReplicas = 1200
	stampedeWindow   = 100 * time.Millisecond
	// agentStartWindow is the time within which all agents start.
	agentStartWindow = 20 * time.Second
)

// startAll simulates entries that start all at once. Each agent starts at a random time in
// agentStartWindow.
func startAll(name string, rules decision.Rules, seed uint64) Stampede {
	random := rand.New(rand.NewPCG(seed, 6))
	var entries, replicas []routing.Node
	for i := range stampedeEntries {
		entries = append(entries, routing.Node{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprint(i % 16)})
	}
	upAt := make(map[string]time.Duration)
	for i := range stampedeReplicas {
		n := routing.Node{Name: fmt.Sprintf("replica-%d", i), FailureDomain: fmt.Sprint(i % 16)}
		replicas = append(replicas, n)
		upAt[n.Name] = time.Duration(random.Int64N(int64(agentStartWindow)))
	}
	out := Stampede{Rules: name}
	perWindow := make(map[string]int)
	for _, e := range entries {
		table := decision.New(rules)
		var rows []decision.Row
		for _, r := range routing.Subset(e, entries, replicas) {
			rows = append(rows, decision.Row{Name: r.Name, Address: "1"})
		}
		table.ApplyList(epoch, rows, random.Uint64())
		open := 0
		for now := time.Duration(0); open < len(rows); now += tickInterval {
			for _, a := range table.Advance(epoch.Add(now)) {
				out.TotalDials++
				if now < stampedeWindow {
					out.DialsInFirstWindow++
				}
				key := fmt.Sprint(a.Agent, now/stampedeWindow)
				perWindow[key]++
				out.MaxDialsPerReplica = max(out.MaxDialsPerReplica, perWindow[key])
				if now < upAt[a.Agent] {
					table.LinkDown(epoch.Add(now), a.Agent, random.Uint64())
					continue
				}
				open++
				out.AllLinkedSeconds = max(out.AllLinkedSeconds, now.Seconds())
				table.LinkUp(epoch.Add(now), a.Agent, decision.Report{Name: a.Agent, Incarnation: "1", BackendUp: true})
				table.SetLinkTimeout(time.Hour)
			}
		}
	}
	return out
}

// eagerRules returns the default rules with dials that start without jitter and are repeated at a
// constant interval.
func eagerRules() decision.Rules {
	r := decision.DefaultRules()
	r.FirstDialJitter = 0
	r.DialBackoff = 100 * time.Millisecond
	r.MaxDialBackoff = r.DialBackoff
	return r
}
