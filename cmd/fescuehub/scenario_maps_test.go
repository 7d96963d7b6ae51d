package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/expertmap"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/engine"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

const hotExpertLoad = 12

// mapObservations is the state of the newmap and onemap commands.
type mapObservations struct {
	// newest is the version that the last newmap found.
	newest        expertmap.Version
	versionByStep map[int64]expertmap.Version
	lastStep      map[string]int64
}

// popular EXPERT URL...: makes one expert of each layer popular in the counts that each rank
// reports.
func cmdPopular(ts *testscript.TestScript, _ bool, args []string) {
	expert, err := strconv.Atoi(args[0])
	ts.Check(err)
	for _, url := range args[1:] {
		var p engine.Popularity
		ts.Check(getJSON(url+engine.RankPopularityPath, &p))
		for _, layer := range p.Layers {
			for e := range layer {
				layer[e] = 1
			}
			layer[expert] = hotExpertLoad
		}
		body, err := json.Marshal(p)
		ts.Check(err)
		status, answer, _, err := request(http.MethodPut, url+engine.RankPopularityPath, nil, string(body))
		ts.Check(err)
		if status != http.StatusOK {
			ts.Fatalf("popular: %d %s", status, answer)
		}
	}
}

// newmap URL...: waits until all ranks use the same map and it is newer than the one of the last
// newmap.
func cmdNewMap(ts *testscript.TestScript, _ bool, urls []string) {
	observed := &siteOf(ts).observedMaps
	deadline := time.Now().Add(awaitTimeout)
	var states []engine.RankState
	for time.Now().Before(deadline) {
		states = states[:0]
		agreed := true
		for _, url := range urls {
			var s engine.RankState
			agreed = getJSON(url+engine.RankStatePath, &s) == nil && agreed
			states = append(states, s)
			agreed = agreed && s.Current == states[0].Current
		}
		if agreed && states[0].Current.Compare(observed.newest) > 0 {
			observed.newest = states[0].Current
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("newmap: no common map newer than %s; ranks report %+v", observed.newest, states)
}

// onemap URL...: waits until every rank has executed a step since the last onemap, and checks that
// no step so far was executed with two maps.
func cmdOneMap(ts *testscript.TestScript, _ bool, urls []string) {
	observed := &siteOf(ts).observedMaps
	if observed.versionByStep == nil {
		observed.versionByStep = make(map[int64]expertmap.Version)
		observed.lastStep = make(map[string]int64)
	}
	deadline := time.Now().Add(awaitTimeout)
	for _, url := range urls {
		for {
			var steps []engine.StepRecord
			ts.Check(getJSON(url+engine.RankStepsPath, &steps))
			if n := len(steps); n > 0 && steps[n-1].Step > observed.lastStep[url] {
				observed.lastStep[url] = steps[n-1].Step
				checkSteps(ts, observed.versionByStep, steps)
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("onemap: no step after %d at %s", observed.lastStep[url], url)
			}
			time.Sleep(pollInterval)
		}
	}
}

func checkSteps(ts *testscript.TestScript, versionByStep map[int64]expertmap.Version, steps []engine.StepRecord) {
	for _, s := range steps {
		if v, ok := versionByStep[s.Step]; ok && v != s.Version {
			ts.Fatalf("step %d was executed with maps %s and %s", s.Step, v, s.Version)
		}
		versionByStep[s.Step] = s.Version
	}
}

// awaitany TEXT URL...: waits until the response to a GET of any of the URLs contains the text.
func cmdAwaitAny(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		for _, url := range args[1:] {
			if _, body, _, err := request(http.MethodGet, url, nil, ""); err == nil && strings.Contains(body, args[0]) {
				return
			}
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("awaitany: no response contains %s", args[0])
}

// ordermap CONTROL FENCING: sends an expert map order for four ranks to an agent, with the fencing
// number of a lease, and writes the reply to call.out.
func cmdOrderMap(ts *testscript.TestScript, _ bool, args []string) {
	fencing, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	conn, err := rpc.Dial(ctx, args[0], nil)
	ts.Check(err)
	defer conn.Close()
	m := expertmap.Map{Version: expertmap.Version{Fencing: fencing, Sequence: 1 << 20}, Ranks: 4}
	var reply agentlink.OrderMapReply
	err = conn.Call(ctx, agentlink.MethodOrderMap, agentlink.OrderMapRequest{Fencing: fencing, Map: m}, &reply)
	ts.Check(os.WriteFile(ts.MkAbs("call.out"), []byte(fmt.Sprintf("%+v %v\n", reply, err)), 0o644))
}

func getJSON(url string, into any) error {
	status, body, _, err := request(http.MethodGet, url, nil, "")
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: status %d", url, status)
	}
	return json.Unmarshal([]byte(body), into)
}
