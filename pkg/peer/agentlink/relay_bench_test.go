package agentlink_test

import (
	"encoding/json"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/answer"
	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
)

// BenchmarkRelayToken measures the CPU time that an entry spends on one token: decoding its frame
// and assembling the answer. It includes encoding the frame.
func BenchmarkRelayToken(b *testing.B) {
	event := `data: {"id":"01a23db7-10e3-79f9-b835-5390a63244c9","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"pigment "}}]}` + "\n\n"
	a := answer.New(true, 1<<20)
	a.BeginAttempt("a")
	seq := 0
	b.ReportAllocs()
	for b.Loop() {
		line, err := json.Marshal(frame.Frame{Attempt: "a", Seq: seq, Status: 200, Data: []byte(event)})
		if err != nil {
			b.Fatal(err)
		}
		f, err := agentlink.DecodeFrame(line)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := a.Accept(f); err != nil {
			b.Fatal(err)
		}
		seq++
	}
}
