package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fescuehub/fescuehub/pkg/entry"
	"github.com/fescuehub/fescuehub/pkg/standin/plainservice"
)

// newkey VAR [OFFSET]: sets VAR to an idempotency key whose timestamp is OFFSET from now.
func cmdNewKey(ts *testscript.TestScript, _ bool, args []string) {
	offset := time.Duration(0)
	if len(args) > 1 {
		var err error
		offset, err = time.ParseDuration(args[1])
		ts.Check(err)
	}
	ts.Setenv(args[0], newKeyAt(time.Now().Add(offset)))
}

func newKeyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// writesready: waits until the agent of every service can claim keys created now.
func cmdWritesReady(ts *testscript.TestScript, _ bool, _ []string) {
	for i := 1; ts.Getenv("SERVICE"+strconv.Itoa(i)) != ""; i++ {
		cmdAwait(ts, false, []string{ts.Getenv("AGENT_SERVICE"+strconv.Itoa(i)) + "/v1/writes", `"ready":true`})
	}
}

// truthful KEY: checks the outcome of the last call against the number of executions of the key
// at the services.
func cmdTruthful(ts *testscript.TestScript, _ bool, args []string) {
	answer := ts.ReadFile("call.out")
	n := executionsOf(ts, args[0])
	switch {
	case n > 1, strings.Contains(answer, "outcome ran") && n != 1, strings.Contains(answer, "outcome not-run") && n != 0:
		ts.Fatalf("key %s was executed %d times and the caller received %s", args[0], n, answer)
	case !strings.Contains(answer, "outcome "):
		ts.Fatalf("response without an outcome: %s", answer)
	}
}

// permit VAR ENTRY ROUTE [AGENT]: sets VAR to a permit for the route, issued by the agent if one
// is named.
func cmdPermit(ts *testscript.TestScript, _ bool, args []string) {
	prefix := "permit:"
	if len(args) > 3 {
		prefix += args[3] + "@"
	}
	deadline := time.Now().Add(awaitTimeout)
	for time.Now().Before(deadline) {
		_, body, _, err := request(http.MethodGet, args[1]+"/v1/addresses?permitsFor="+args[2], nil, "")
		var answer entry.AddressAnswer
		if err == nil && json.Unmarshal([]byte(body), &answer) == nil {
			for _, p := range answer.Permits {
				if strings.HasPrefix(p, prefix) {
					ts.Setenv(args[0], p)
					return
				}
			}
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("permit: the entry issued no permit with prefix %s before the timeout", prefix)
}

// executions KEY N: waits until the services of the site have executed the key N times in total,
// and fails if they execute it more often.
func cmdExecutions(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	deadline := time.Now().Add(awaitTimeout)
	for {
		got := executionsOf(ts, args[0])
		if got == want {
			return
		}
		if got > want || time.Now().After(deadline) {
			ts.Fatalf("key %s was executed %d times, not %d", args[0], got, want)
		}
		time.Sleep(pollInterval)
	}
}

// executionsOf returns how often the services that can be reached have executed the key.
func executionsOf(ts *testscript.TestScript, key string) int {
	n := 0
	for i := 1; ts.Getenv("SERVICE"+strconv.Itoa(i)) != ""; i++ {
		_, body, _, err := request(http.MethodGet, ts.Getenv("SERVICE"+strconv.Itoa(i))+"/executions", nil, "")
		if err != nil {
			continue
		}
		var list []plainservice.Execution
		ts.Check(json.Unmarshal([]byte(body), &list))
		for _, e := range list {
			if e.Key == key {
				n += e.Count
			}
		}
	}
	return n
}
