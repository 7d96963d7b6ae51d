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

const hotLoad = 12

// mapsSeen is what the commands about expert maps remember.
type mapsSeen struct {
	newest expertmap.Version
	used   map[int64]expertmap.Version
	last   map[string]int64
}

// popular EXPERT URL...: makes one expert of each layer popular, as all ranks
// of a group see it.
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
			layer[expert] = hotLoad
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

// newmap URL...: waits until all ranks use one map that is newer than at the
// last newmap.
func cmdNewMap(ts *testscript.TestScript, _ bool, urls []string) {
	seen := &siteOf(ts).maps
	deadline := time.Now().Add(awaitBound)
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
		if agreed && states[0].Current.Compare(seen.newest) > 0 {
			seen.newest = states[0].Current
			return
		}
		time.Sleep(awaitPause)
	}
	ts.Fatalf("newmap: no map newer than %s; ranks are at %+v", seen.newest, states)
}

// onemap URL...: waits until steps have gone on since the last onemap and
// checks that no step, so far, was run with two maps.
func cmdOneMap(ts *testscript.TestScript, _ bool, urls []string) {
	seen := &siteOf(ts).maps
	if seen.used == nil {
		seen.used = make(map[int64]expertmap.Version)
		seen.last = make(map[string]int64)
	}
	deadline := time.Now().Add(awaitBound)
	for _, url := range urls {
		for {
			var steps []engine.StepRecord
			ts.Check(getJSON(url+engine.RankStepsPath, &steps))
			if n := len(steps); n > 0 && steps[n-1].Step > seen.last[url] {
				seen.last[url] = steps[n-1].Step
				checkSteps(ts, seen.used, steps)
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("onemap: no step after %d at %s", seen.last[url], url)
			}
			time.Sleep(awaitPause)
		}
	}
}

func checkSteps(ts *testscript.TestScript, used map[int64]expertmap.Version, steps []engine.StepRecord) {
	for _, s := range steps {
		if v, ok := used[s.Step]; ok && v != s.Version {
			ts.Fatalf("step %d was run with maps %s and %s", s.Step, v, s.Version)
		}
		used[s.Step] = s.Version
	}
}

// awaitany TEXT URL...: waits until a GET of any of the URLs contains the text.
func cmdAwaitAny(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(awaitBound)
	for time.Now().Before(deadline) {
		for _, url := range args[1:] {
			if _, body, _, err := request(http.MethodGet, url, nil, ""); err == nil && strings.Contains(body, args[0]) {
				return
			}
		}
		time.Sleep(awaitPause)
	}
	ts.Fatalf("awaitany: no %s", args[0])
}

// ordermap CONTROL FENCING: orders a map for four ranks at an agent as the holder of a lease
// with that number and prints the answer to call.out.
func cmdOrderMap(ts *testscript.TestScript, _ bool, args []string) {
	fencing, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), awaitBound)
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
