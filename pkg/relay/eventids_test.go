package relay_test

import (
	"context"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/fleet"
)

// increasingIDs are the ids of whole streams.
var increasingIDs = map[string][]string{
	"1 from 0":          steps("0", 1, 8),
	"1 from 1":          steps("1", 1, 8),
	"1 from 7":          steps("7", 1, 8),
	"2 from 2":          steps("2", 2, 8),
	"5 from 5":          steps("5", 5, 8),
	"5 from 0":          steps("0", 5, 8),
	"1,000 from 1,000":  steps("1000", 1000, 8),
	"10 from 7":         steps("7", 10, 8),
	"1 below zero":      steps("-4", 1, 8),
	"unequal":           {"3", "10", "11", "50", "51", "52", "400", "401"},
	"growing":           {"4", "9", "16", "25", "36", "49"},
	"short last step":   {"5", "10", "15", "20", "22"},
	"leading zeros":     {"0005", "0010", "0015", "0020"},
	"zeros dropped":     {"008", "009", "10", "11"},
	"64 bits":           steps("9223372036854775804", 1, 8),
	"64 bits, unsigned": steps("18446744073709551610", 5, 8),
	"beyond 64 bits":    steps("123456789012345678901234567890", 1, 8),
	"beyond 64 bits, 5": steps("123456789012345678901234567890", 5, 8),
	"from 64 bits on":   steps("9223372036854775000", 500, 8),
	"below the 64 bits": steps("-9223372036854775810", 1, 8),
	"no numbers":        {"a", "b", "c", "d", "e"},
	"time and sequence": {"1700000000-0", "1700000000-1", "1700000003-0", "1700000004-0"},
	"full range":        {"-9223372036854775808", "9223372036854775807", "9223372036854775808"},
}

// steps returns a number of ids from the first one on.
func steps(first string, step int64, count int) []string {
	n, _ := new(big.Int).SetString(first, 10)
	ids := make([]string, count)
	for i := range ids {
		ids[i] = n.String()
		n.Add(n, big.NewInt(step))
	}
	return ids
}

// increasingIDsOfOneServer are the ids of streams that are whole only if one server sends them: where another one continues
// the stream, a name after numbers can be an error of that server, and steps of 1 show that events are missing.
var increasingIDsOfOneServer = map[string][]string{
	"numbers, then a name": {"1", "2", "3", "end"},
	"squares":              {"0", "1", "4", "9", "16"},
	"steps of 2 from 1":    steps("1", 2, 8),
}

// events encodes events with the ids.
func events(ids ...string) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %s\ndata: x%s\n\n", id, id)
	}
	return text.String()
}

func eventRoute(resumable bool) fleet.Route {
	r := route(fleet.Streaming)
	r.Resumable = resumable
	return r
}

// stream answers with events and then ends the response, or resets the connection in it.
func stream(whole bool, ids ...string) reply {
	if !whole {
		return writeRaw(streamHead("Transfer-Encoding: chunked\r\n")+chunk(events(ids...)+"id: "), resetConn)
	}
	return respondWith(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", events(ids...))
}

// TestStreamWithIncreasingIDsIsWhole guards against sound streams that are cut because their ids increase by other steps
// than 1.
func TestStreamWithIncreasingIDsIsWhole(t *testing.T) {
	check := func(t *testing.T, ids []string, resumable bool) {
		t.Parallel()
		a := newBackend(t, stream(true, ids...))
		s := newTestRelay(t, eventRoute(resumable), fleet.Service{}, 1000, a.server("a"))
		status, body, _, err := s.send(context.Background(), "1")
		if sent, _ := a.count(); err != nil || status != 200 || body != events(ids...) || sent != 1 {
			t.Errorf("status %d, %q after %d sends, %v; want the whole stream after one", status, body, sent, err)
		}
	}
	for _, lists := range []map[string][]string{increasingIDs, increasingIDsOfOneServer} {
		for name, ids := range lists {
			for _, resumable := range []bool{false, true} {
				t.Run(fmt.Sprint(name, "/", resumable), func(t *testing.T) { check(t, ids, resumable) })
			}
		}
	}
}

// TestStreamWithIncreasingIDsIsResumed guards against sound streams that are cut where a second server continues them,
// after any of their events.
func TestStreamWithIncreasingIDsIsResumed(t *testing.T) {
	for name, ids := range increasingIDs {
		for at := 1; at < len(ids); at++ {
			t.Run(fmt.Sprint(name, "/", at), func(t *testing.T) {
				t.Parallel()
				respond := func(c *net.TCPConn, r *http.Request, n int) bool {
					if r.Header.Get("Last") == "" {
						return stream(false, ids[:at]...)(c, r, n)
					}
					if r.Header.Get("Last") != ids[at-1] {
						return respondWith(400, "", "")(c, r, n)
					}
					return stream(true, ids[at:]...)(c, r, n)
				}
				a, b := newBackend(t, respond), newBackend(t, respond)
				s := newTestRelay(t, eventRoute(true), fleet.Service{}, 1000, a.server("a"), b.server("b"))
				status, body, _, err := s.send(context.Background(), "1")
				sentA, _ := a.count()
				sentB, _ := b.count()
				if err != nil || status != 200 || body != events(ids...) || sentA+sentB != 2 {
					t.Errorf("status %d, %q after %d sends, %v; want the whole stream after two", status, body, sentA+sentB, err)
				}
			})
		}
	}
}

// TestIDsThatDoNotIncreaseAreNotJoined guards against a stream in which a piece comes twice or two runs are joined, by the
// server that began it or by one that continues it.
func TestIDsThatDoNotIncreaseAreNotJoined(t *testing.T) {
	for name, c := range map[string]struct{ sound, wrong []string }{
		"repeated":                 {steps("1", 1, 3), []string{"3", "4"}},
		"repeated, steps of 5":     {steps("5", 5, 3), []string{"15", "20"}},
		"repeated, leading zero":   {steps("1", 1, 3), []string{"03", "4"}},
		"repeated, sign":           {steps("1", 1, 3), []string{"+3", "4"}},
		"repeated, beyond 64 bits": {steps("123456789012345678901234567890", 1, 3), steps("123456789012345678901234567892", 1, 2)},
		"repeated, no number":      {[]string{"a", "b"}, []string{"b", "c"}},
		"falling":                  {steps("5", 5, 3), []string{"11", "20"}},
		"falling, 64 bits":         {[]string{"9223372036854775808"}, []string{"9223372036854775807"}},
		"falling, leading zeros":   {[]string{"0005", "0010"}, []string{"0007"}},
		"falling, shorter":         {[]string{"99", "100"}, []string{"99"}},
		"falling, below zero":      {[]string{"-2", "-1"}, []string{"-3"}},
		"falling behind a name":    {[]string{"5", "10", "a"}, []string{"7"}},
		"begun again":              {steps("1", 1, 5), steps("1", 1, 9)},
		"begun again, steps of 5":  {steps("5", 5, 5), steps("5", 5, 9)},
		"begun again from 0":       {steps("0", 1, 5), steps("0", 1, 9)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check := func(how string, body string, err error) {
				if err == nil || body != events(c.sound...) && body != "" {
					t.Errorf("%s: %q, %v; want no more than the sound events, and no end", how, body, err)
				}
			}
			one := newBackend(t, stream(true, append(append([]string{}, c.sound...), c.wrong...)...))
			for _, resumable := range []bool{false, true} {
				s := newTestRelay(t, eventRoute(resumable), fleet.Service{}, 1000, one.server("a"))
				_, body, _, err := s.send(context.Background(), "1")
				check(fmt.Sprint("one server, resumable ", resumable), body, err)
			}
			a, b := failFirst(t, func(*backend) reply { return stream(false, c.sound...) }, stream(true, c.wrong...))
			s := newTestRelay(t, eventRoute(true), fleet.Service{}, 1000, a.server("a"), b.server("b"))
			_, body, _, err := s.send(context.Background(), "1")
			check("resumed", body, err)
		})
	}
}

// TestResumedStreamBeyondItsStepIsAborted guards against events that are missing where another server continues a stream
// whose ids count its events or increase by equal steps.
func TestResumedStreamBeyondItsStepIsAborted(t *testing.T) {
	for name, c := range map[string]struct {
		first []string
		next  string
	}{
		"steps of 1 from 1":     {steps("1", 1, 2), "4"},
		"steps of 1 from 0":     {steps("0", 1, 2), "3"},
		"steps of 1 from 7":     {steps("7", 1, 5), "13"},
		"one event":             {steps("1", 1, 1), "3"},
		"steps of 5":            {steps("5", 5, 3), "25"},
		"steps of 5 from 0":     {steps("0", 5, 4), "21"},
		"steps of 1, 64 bits":   {steps("9223372036854775805", 1, 3), "9223372036854775809"},
		"steps beyond 64 bits":  {steps("123456789012345678901234567890", 1, 3), "123456789012345678901234567894"},
		"no number":             {steps("1", 1, 3), "end"},
		"a name begins again":   {[]string{"a", "b", "c"}, "a"},
		"an event without id":   {steps("1", 1, 3), ""},
		"a name, then without":  {[]string{"a", "b", "c"}, ""},
		"steps of 1 and a name": {[]string{"1", "2", "x", "3"}, "5"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := failFirst(t, func(*backend) reply { return stream(false, c.first...) },
				respondWith(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", strings.Replace(events(c.next), "id: \n", "", 1)))
			s := newTestRelay(t, eventRoute(true), fleet.Service{}, 1000, a.server("a"), b.server("b"))
			if _, body, _, err := s.send(context.Background(), "1"); err == nil || body != events(c.first...) && body != "" {
				t.Errorf("%q, %v; want the events before the gap, and no end", body, err)
			}
		})
	}
}

// TestCallersLastEventIDBindsServers guards against a caller that resumes a stream itself: any greater id continues it, and
// the server that begins it again is not passed on.
func TestCallersLastEventIDBindsServers(t *testing.T) {
	for name, c := range map[string]struct {
		last  string
		ids   []string
		joins bool
	}{
		"next":                {"12", steps("13", 1, 3), true},
		"step of 5":           {"15", steps("20", 5, 3), true},
		"unequal":             {"15", []string{"16", "90"}, true},
		"leading zero":        {"0015", []string{"0020", "0025"}, true},
		"beyond 64 bits":      {"123456789012345678901234567890", steps("123456789012345678901234567895", 5, 3), true},
		"a name":              {"a", []string{"b", "c"}, true},
		"repeated":            {"15", steps("15", 5, 3), false},
		"repeated, zero":      {"15", []string{"015", "20"}, false},
		"begun again":         {"15", steps("5", 5, 5), false},
		"a name, repeated":    {"a", []string{"a", "b"}, false},
		"64 bits, begun anew": {"18446744073709551616", steps("1", 1, 3), false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newBackend(t, stream(true, c.ids...))
			s := newTestRelay(t, eventRoute(true), fleet.Service{}, 1000, a.server("a"))
			req, err := http.NewRequest(http.MethodPost, s.front.URL+"/p", strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Id", "1")
			req.Header.Set("Last", c.last)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer res.Body.Close()
			if got := res.StatusCode == 200; got != c.joins || !c.joins && res.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d; want the events passed on: %v", res.StatusCode, c.joins)
			}
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against two runs that are joined: no id says after which event another server has
// to continue, so it would send the stream from its start, or from an earlier event.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	const unnamed, comment = "data: x\n\n", ": wait\n\n"
	for name, c := range map[string]struct {
		sent string
		// rest is what the other server has to add; empty if the stream must not be resumed.
		rest string
	}{
		"no ids":             {unnamed + unnamed, ""},
		"none after the ids": {events("1", "2") + unnamed, ""},
		"ids after one":      {unnamed + events("1", "2"), events("3")},
		"comments only":      {comment, events("1", "2", "3")},
		"comment after ids":  {events("1", "2") + comment, events("3")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rest := func(conn *net.TCPConn, r *http.Request, n int) bool {
				text := events("1", "2", "3")
				if r.Header.Get("Last") != "" {
					text = events("3")
				}
				return respondWith(200, "Seal: s\r\nContent-Type: text/event-stream\r\n", text)(conn, r, n)
			}
			a, b := failFirst(t, func(*backend) reply {
				return writeRaw(streamHead("Transfer-Encoding: chunked\r\n")+chunk(c.sent+"da"), resetConn)
			}, rest)
			s := newTestRelay(t, eventRoute(true), fleet.Service{}, 1000, a.server("a"), b.server("b"))
			_, body, _, err := s.send(context.Background(), "1")
			if c.rest != "" && (err != nil || body != c.sent+c.rest) {
				t.Errorf("%q, %v; want %q", body, err, c.sent+c.rest)
			}
			if c.rest == "" && (err == nil || body != c.sent && body != "") {
				t.Errorf("%q, %v; want no more than what the first server sent, and no end", body, err)
			}
		})
	}
}
