package answer_test

import (
	"net/http"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const (
	first  = ident.AttemptID("first")
	second = ident.AttemptID("second")
	event  = `data: {"choices":[{"index":0,"delta":{"role":"assistant","content":"a "}}]}` + "\n\n"
	tool   = `data: {"choices":[{"index":0,"delta":{"tool_calls":[{}]}}]}` + "\n\n"
	done   = "data: [DONE]\n\n"
)

// feed passes the frames of one attempt to the assembler and returns the data for the caller.
func feed(t *testing.T, a *answer.Assembler, attempt ident.AttemptID, status int, last bool, data ...string) (string, bool, error) {
	t.Helper()
	out := ""
	for i, d := range data {
		f := frame.Frame{Attempt: attempt, Seq: i, Data: []byte(d), Last: last && i == len(data)-1}
		if i == 0 {
			f.Status = status
		}
		o, err := a.Accept(f)
		if err != nil {
			return out, false, err
		}
		out += string(o.Data)
		if o.Done {
			return out, true, nil
		}
	}
	return out, false, nil
}

// Guards what the caller receives of complete, incomplete, failed and oversized answers, and
// what may follow a failure.
func TestAssembler(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		status int
		last   bool
		data   []string
		want   string
		done   bool
		kind   problem.Kind
		next   answer.Action
		text   string
	}{
		{"complete stream", true, 200, true, []string{event, event, done}, event + event + done, true, "", answer.Fail, "a a "},
		{"event split across frames", true, 200, true, []string{event[:9], event[9:] + done[:4], done[4:]}, event + done, true, "", answer.Fail, "a "},
		{"incomplete event is not forwarded", true, 200, false, []string{event, event[:20]}, event, false, "", answer.Resume, "a "},
		{"stream without its end marker", true, 200, true, []string{event, event}, event, false, problem.TruncatedAnswer, answer.Resume, ""},
		{"stream with a tool call does not resume", true, 200, false, []string{event, tool}, event + tool, false, "", answer.Fail, "a "},
		{"error event of the engine", true, 200, false, []string{event, "event: error\ndata: {}\n\n"}, event, false, problem.TruncatedAnswer, answer.Resume, ""},
		{"nothing sent yet", true, 200, false, []string{event[:9]}, "", false, "", answer.Retry, ""},
		{"error status instead of a stream", true, 400, true, []string{`{"e"`, `:1}`}, `{"e":1}`, true, "", answer.Fail, ""},
		{"document", false, 200, true, []string{`{"e"`, `:1}`}, `{"e":1}`, true, "", answer.Fail, ""},
		{"incomplete document is buffered", false, 200, false, []string{`{"e"`}, "", false, "", answer.Retry, ""},
		{"large document is forwarded", false, 200, false, []string{"0123456789", "x"}, "0123456789x", false, "", answer.Fail, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := answer.New(tt.stream, 8)
			a.BeginAttempt(first)
			got, ended, err := feed(t, a, first, tt.status, tt.last, tt.data...)
			if ended != tt.done || tt.kind == "" && got != tt.want || (err != nil) != (tt.kind != "") || err != nil && !problem.Is(err, tt.kind) {
				t.Fatalf("got %q done=%t err=%v", got, ended, err)
			}
			if next := a.AfterFailure(true); !ended && next != tt.next {
				t.Fatalf("next is %v, want %v", next, tt.next)
			}
			if tt.text != "" && a.Text() != tt.text {
				t.Fatalf("text is %q", a.Text())
			}
		})
	}
}

// Guards the resume of a stream: the second attempt must continue after the text already sent,
// and late frames of the first attempt must be dropped.
func TestResumedStreamIsOneAnswer(t *testing.T) {
	a := answer.New(true, 8)
	a.BeginAttempt(first)
	head, _, _ := feed(t, a, first, 200, false, event, event[:30])
	a.BeginAttempt(second)
	late, err := a.Accept(frame.Frame{Attempt: first, Seq: 2, Data: []byte(event[30:])})
	if err != nil || !late.Dropped {
		t.Fatalf("a frame of the first attempt was accepted: %+v %v", late, err)
	}
	tail, complete, err := feed(t, a, second, http.StatusOK, true, event, done)
	if err != nil || !complete || head+tail != event+event+done {
		t.Fatalf("got %q complete=%t err=%v", head+tail, complete, err)
	}
	body, err := answer.WithResumeText([]byte(`{"model":"m","unknown":[1]}`), "a ")
	if err != nil || string(body) != `{"model":"m","resume_text":"a ","unknown":[1]}` {
		t.Fatalf("%s %v", body, err)
	}
}

// Guards against answers with missing parts: a gap in the frame numbers must end the attempt.
func TestMissingFrameFailsAttempt(t *testing.T) {
	a := answer.New(false, 8)
	a.BeginAttempt(first)
	if _, err := a.Accept(frame.Frame{Attempt: first, Seq: 1, Data: []byte("x")}); !problem.Is(err, problem.BrokenFrame) {
		t.Fatalf("got %v", err)
	}
}

// TestErrorAfterBeginOfStreamIsNotForwarded guards against the text of an error in the middle of a stream, and
// against a stream that ends as if it were complete, when the next engine answers a resumed stream with an
// error.
func TestErrorAfterBeginOfStreamIsNotForwarded(t *testing.T) {
	for name, data := range map[string][]string{
		"text":                  {"internal error\n\n"},
		"document":              {`{"error":"overloaded"}`, "\n\n"},
		"looks like an event":   {"data: {\"error\":\"failed\"}\n\n"},
		"looks like the end":    {done},
		"a whole head and text": {"HTTP/1.1 500 Internal Server Error\r\n\r\nfailed\r\n\r\n"},
	} {
		for n, status := range []int{400, 404, 429, 500, 503} {
			a := answer.New(true, 100)
			a.BeginAttempt(first)
			if _, _, err := feed(t, a, first, 200, false, event); err != nil {
				t.Fatal(err)
			}
			a.BeginAttempt(second)
			got, complete, err := feed(t, a, second, status, n%2 == 0, data...)
			if got != "" || complete || err == nil {
				t.Errorf("%s with status %d after the begin of a stream: forwarded %q, complete %v, error %v; want nothing and an error", name, status, got, complete, err)
			}
		}
	}
}

// TestFrameWithoutStatusIsNotAnAnswer guards against an answer without a status that reaches a caller: as a long document,
// or as the rest of a stream that another attempt has begun.
func TestFrameWithoutStatusIsNotAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		stream bool
		status int
		data   []string
	}{
		"document":          {false, 0, []string{"what"}},
		"long document":     {false, 0, []string{"0123456789", "x"}},
		"empty document":    {false, 0, []string{""}},
		"stream":            {true, 0, []string{event, done}},
		"informational":     {false, 100, []string{"0123456789", "x"}},
		"other protocol":    {false, 101, []string{"0123456789", "x"}},
		"more than allowed": {false, 600, []string{"0123456789", "x"}},
		"negative":          {false, -1, []string{"0123456789", "x"}},
	} {
		t.Run(name, func(t *testing.T) {
			a := answer.New(c.stream, 8)
			a.BeginAttempt(first)
			got, complete, err := feed(t, a, first, c.status, true, c.data...)
			if got != "" || complete || err == nil {
				t.Errorf("forwarded %q, complete %v, error %v; want nothing and an error", got, complete, err)
			}
			if next := a.AfterFailure(true); next != answer.Retry {
				t.Errorf("next is %v, want %v", next, answer.Retry)
			}
		})
	}
	a := answer.New(true, 8)
	a.BeginAttempt(first)
	if _, _, err := feed(t, a, first, 200, false, event); err != nil {
		t.Fatal(err)
	}
	a.BeginAttempt(second)
	if got, complete, err := feed(t, a, second, 0, true, event, done); got != "" || complete || err == nil {
		t.Errorf("resumed stream: forwarded %q, complete %v, error %v; want nothing and an error", got, complete, err)
	}
}
