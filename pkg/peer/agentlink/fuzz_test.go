package agentlink_test

import (
	"encoding/json"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

// FuzzAttempt checks that DecodeAttempt returns a typed error or an attempt that survives
// re-encoding, for any content that an agent may receive.
func FuzzAttempt(f *testing.F) {
	f.Add([]byte(`{"attempt":"a","incarnation":"b"}` + "\n" + `{"model":"m"}`))
	f.Add([]byte(`{"attempt":""}` + "\n"))
	f.Add([]byte("\n\n"))
	f.Add([]byte(`{"attempt":"a","deadlineMS":1e99}` + "\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		request, body, err := agentlink.DecodeAttempt(content)
		if err != nil {
			if p := problem.Of(err); p.Kind != problem.BadRequest || p.Outcome != problem.NotRun || p.Remedy == "" {
				t.Fatalf("error without the expected kind, outcome or remedy: %+v", p)
			}
			return
		}
		meta, err := json.Marshal(request)
		if err != nil {
			t.Fatal(err)
		}
		decodedAgain, bodyAgain, err := agentlink.DecodeAttempt(append(append(meta, '\n'), body...))
		if err != nil || decodedAgain.Attempt != request.Attempt || string(bodyAgain) != string(body) {
			t.Fatalf("after re-encoding: got %+v %q %v", decodedAgain, bodyAgain, err)
		}
	})
}

// FuzzFrame decodes and assembles any frame that an entry may receive from an agent, and checks
// that no invalid status, incomplete answer or frame of another attempt reaches the caller.
func FuzzFrame(f *testing.F) {
	f.Add([]byte(`{"attempt":"a","seq":0,"status":200,"data":"ZGF0YTogW0RPTkVdCgo=","last":true}`), true)
	f.Add([]byte(`{"attempt":"a","seq":0,"last":true,"failure":{"kind":"x"}}`), false)
	f.Add([]byte(`{"attempt":"a","seq":-1}`), true)
	f.Add([]byte(`{"attempt":"a","seq":0,"status":42,"last":true}`), false)
	f.Add([]byte(`[]`), true)
	f.Fuzz(func(t *testing.T, line []byte, stream bool) {
		decoded, err := agentlink.DecodeFrame(line)
		if err != nil {
			if !problem.Is(err, problem.BrokenFrame) {
				t.Fatalf("error without the kind broken-frame: %v", err)
			}
			return
		}
		a := answer.New(stream, 16)
		a.BeginAttempt("a")
		out, err := a.Accept(decoded)
		if out.Head != nil && (out.Head.Status < 200 || out.Head.Status > 599) {
			t.Fatalf("status %d would reach a caller", out.Head.Status)
		}
		if out.Done && (err != nil || !decoded.Last || out.Head == nil) {
			t.Fatalf("answer reported complete without its last frame: %+v %v", out, err)
		}
		if late, _ := a.Accept(frame.Frame{Attempt: "b", Data: []byte("x")}); !late.Dropped {
			t.Fatal("a frame of another attempt was accepted")
		}
	})
}
