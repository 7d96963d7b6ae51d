package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"
)

// site [entries=N] [engines=N] [services=N] [linger=S] [shutdown=S] [retention=S] [bare] [relays] [group] [split]
//
// Writes the settings of a deployment, starts its processes, and sets the variables LOG, LIST,
// ENTRY1, ENTRY1_OP, ENGINE1, AGENT_ENGINE1, SERVICE1 and so on. linger is the lifetime of an
// address response and shutdown the bound of a shutdown, both in seconds. With bare, no process
// is started. With relays, agents are reached through relays that the cut command can break. With
// group, the engines are the ranks of one group that check no fencing. With split, every second
// backend server of a kind is in a second pool, such as services-2.
func cmdSite(ts *testscript.TestScript, _ bool, args []string) {
	options := siteOptions{entries: 1, addressLifetime: 1, shutdown: 30}
	numbers := map[string]*int{
		"entries": &options.entries, "engines": &options.engines, "services": &options.services,
		"linger": &options.addressLifetime, "shutdown": &options.shutdown,
		"retention": &options.retentionSeconds,
	}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch {
		case name == "bare":
			options.settingsOnly = true
		case name == "group":
			options.rankGroup = true
		case name == "relays":
			options.useRelays = true
		case name == "split":
			options.splitPools = true
		case numbers[name] != nil:
			n, err := strconv.Atoi(value)
			ts.Check(err)
			*numbers[name] = n
		default:
			ts.Fatalf("site: unknown argument %s", arg)
		}
	}
	ts.Check(siteOf(ts).build(ts, options))
}

// start NAME: starts or restarts a process of the site.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(siteOf(ts).start(args[0]))
}

// signal SIGNAL NAME: sends TERM, KILL, STOP or CONT to a process. After KILL it waits until the
// process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	sig, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("signal: unknown signal %s", args[0])
	}
	p, err := siteOf(ts).process(args[1])
	ts.Check(err)
	ts.Check(p.cmd.Process.Signal(sig))
	if sig == syscall.SIGKILL {
		<-p.exited
	}
}

// exited NAME CODE: waits until the process exits and checks its exit code.
func cmdExited(ts *testscript.TestScript, _ bool, args []string) {
	p, err := siteOf(ts).process(args[0])
	ts.Check(err)
	select {
	case <-p.exited:
	case <-time.After(awaitTimeout):
		ts.Fatalf("exited: %s has not exited before the timeout", args[0])
	}
	if want := args[1]; want != strconv.Itoa(p.code) {
		ts.Fatalf("%s exited with code %d, want %s", args[0], p.code, want)
	}
}

// fails CODE ARGUMENTS...: runs fescuehub and checks its exit code. The commands stderr and stdout
// can then match its output.
func cmdFails(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec("fescuehub", args[1:]...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || strconv.Itoa(exit.ExitCode()) != args[0] {
		ts.Fatalf("fescuehub exited with %v, want code %s", err, args[0])
	}
}

// fault URL JSON: replaces the injected faults of a stand-in.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	status, body, _, err := request(http.MethodPut, args[0]+"/faults", nil, strings.Join(args[1:], " "))
	ts.Check(err)
	if status != http.StatusOK {
		ts.Fatalf("fault: status %d: %s", status, body)
	}
}

// await URL TEXT: waits until a GET succeeds with a body that contains the text, or, with !, one
// that does not contain it.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	deadline := time.Now().Add(awaitTimeout)
	last := ""
	for time.Now().Before(deadline) {
		status, body, _, err := request(http.MethodGet, args[0], nil, "")
		last = body
		if err == nil && status < http.StatusBadRequest && strings.Contains(body, args[1]) != neg {
			return
		}
		time.Sleep(pollInterval)
	}
	ts.Fatalf("await: timed out; last response of %s is %.1500q", args[0], last)
}

// call [&NAME] METHOD URL [HEADER:VALUE ...] [BODY]: sends a request and writes the status, the
// Fescue-Outcome header and the body to call.out. With &NAME it runs in the background, and the
// command sees NAME waits for it.
func cmdCall(ts *testscript.TestScript, _ bool, args []string) {
	name := ""
	if strings.HasPrefix(args[0], "&") {
		name, args = args[0][1:], args[1:]
	}
	headers := make(http.Header)
	remaining := args[2:]
	for len(remaining) > 0 && !strings.HasPrefix(remaining[0], "{") && strings.Contains(remaining[0], ":") {
		k, v, _ := strings.Cut(remaining[0], ":")
		headers.Set(k, v)
		remaining = remaining[1:]
	}
	run := func() string {
		status, body, outcome, err := request(args[0], args[1], headers, strings.Join(remaining, " "))
		return fmt.Sprintf("status %d outcome %s error %v\n%s\n", status, outcome, err, body)
	}
	if name == "" {
		ts.Check(os.WriteFile(ts.MkAbs("call.out"), []byte(run()), 0o644))
		return
	}
	p := &pendingCall{done: make(chan struct{})}
	siteOf(ts).calls[name] = p
	go func() {
		p.text = run()
		close(p.done)
	}()
}

// hangup METHOD URL BODY: sends a request, reads the first byte of the response and closes the
// connection.
func cmdHangup(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, args[0], args[1], strings.NewReader(strings.Join(args[2:], " ")))
	ts.Check(err)
	res, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_, err = io.ReadFull(res.Body, make([]byte, 1))
	ts.Check(err)
	ts.Check(res.Body.Close())
}

// raw ADDRESS TEXT: sends the text over TCP, with \r\n in it as line ends, keeps the connection
// open until the peer closes it, and writes the response to call.out.
func cmdRaw(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", args[0])
	ts.Check(err)
	defer conn.Close()
	ts.Check(conn.SetDeadline(time.Now().Add(awaitTimeout)))
	_, err = io.WriteString(conn, strings.ReplaceAll(args[1], `\r\n`, "\r\n"))
	ts.Check(err)
	answer, err := io.ReadAll(conn)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs("call.out"), answer, 0o644))
}

// pendingCall is a background call. text is set before done is closed.
type pendingCall struct {
	text string
	done chan struct{}
}

// sees [NAME] TEXT: checks that the output of the last call, or of background call NAME, contains
// the text, or, with !, does not contain it.
func cmdSees(ts *testscript.TestScript, neg bool, args []string) {
	text := ""
	if len(args) == 2 {
		p, ok := siteOf(ts).calls[args[0]]
		if !ok {
			ts.Fatalf("sees: no background call %s", args[0])
		}
		select {
		case <-p.done:
		case <-time.After(awaitTimeout):
			ts.Fatalf("sees: background call %s has not finished before the timeout", args[0])
		}
		text = p.text
	} else {
		text = ts.ReadFile("call.out")
	}
	want := args[len(args)-1]
	if strings.Contains(text, want) == neg {
		ts.Fatalf("sees: unexpected response %.1500q (%d bytes)", text, len(text))
	}
}

// race N COMMAND [ARGUMENT ...]: runs the command N times concurrently. "-N." in the arguments is
// replaced by the number of the run, from 1, as in "-1.".
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	results := make([]raceResult, n)
	var group sync.WaitGroup
	for i := range results {
		group.Go(func() {
			command := make([]string, len(args)-2)
			for j, a := range args[2:] {
				command[j] = strings.ReplaceAll(a, "-N.", fmt.Sprintf("-%d.", i+1))
			}
			cmd := exec.Command(args[1], command...)
			cmd.Dir = siteOf(ts).dir
			out, _ := cmd.CombinedOutput()
			results[i] = raceResult{cmd.ProcessState.ExitCode(), string(out)}
		})
	}
	group.Wait()
	siteOf(ts).race = results
}

// raceResult is the exit code and the output of one run of a race.
type raceResult struct {
	code int
	text string
}

// accepted N and rejected N: check the number of runs of the last race that exited with code 0 and
// with code 3.
func cmdRaceCount(code int) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		n := 0
		for _, r := range siteOf(ts).race {
			if r.code == code {
				n++
			}
		}
		if strconv.Itoa(n) != args[0] {
			ts.Fatalf("unexpected number of runs, %d, exited with code %d: %v", n, code, siteOf(ts).race)
		}
	}
}

// raced TEXT: checks that every run of the last race that failed printed the text.
func cmdRaced(ts *testscript.TestScript, _ bool, args []string) {
	for _, r := range siteOf(ts).race {
		if r.code != 0 && !strings.Contains(r.text, args[0]) {
			ts.Fatalf("raced: a failed run printed %q, without the expected text", r.text)
		}
	}
}

// same URL URL: checks that a GET of each URL returns the same body.
func cmdSame(ts *testscript.TestScript, _ bool, args []string) {
	_, a, _, errA := request(http.MethodGet, args[0], nil, "")
	_, b, _, errB := request(http.MethodGet, args[1], nil, "")
	ts.Check(errors.CombineErrors(errA, errB))
	if a != b {
		ts.Fatalf("%s\nand\n%s differ", a, b)
	}
}

// capture NAME REGEXP: sets the variable to the first submatch of the first match in the standard
// error of the last exec.
func cmdCapture(ts *testscript.TestScript, _ bool, args []string) {
	match := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile("stderr"))
	if len(match) < 2 {
		ts.Fatalf("capture: the expression has no submatch in %q", ts.ReadFile("stderr"))
	}
	ts.Setenv(args[0], match[1])
}

// cut NAME: closes every connection to the agent and refuses new ones.
func cmdCut(ts *testscript.TestScript, _ bool, args []string) { setRelays(ts, args[0], true) }

// mend NAME: undoes cut, so that new connections to the agent are accepted.
func cmdMend(ts *testscript.TestScript, _ bool, args []string) { setRelays(ts, args[0], false) }

func setRelays(ts *testscript.TestScript, name string, cut bool) {
	found := false
	for key, r := range siteOf(ts).relays {
		if strings.HasPrefix(key, name+"#") {
			r.setCut(cut)
			found = true
		}
	}
	if !found {
		ts.Fatalf("no relay to %s; add the argument relays to the site command", name)
	}
}

// request sends a request and returns the status, the body, and the outcome with the idempotency
// key of the response.
func request(method, url string, headers http.Header, body string) (int, string, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	for k, v := range headers {
		req.Header[k] = v
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	outcome := res.Header.Get("Fescue-Outcome")
	if key := res.Header.Get("Idempotency-Key"); key != "" {
		outcome += " key " + key
	}
	return res.StatusCode, string(data), outcome, err
}
