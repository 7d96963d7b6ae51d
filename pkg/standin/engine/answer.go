package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	peer "github.com/fescuehub/fescuehub/pkg/peer/engine"
)

func (e *Engine) sendAnswer(w http.ResponseWriter, ctx context.Context, request peer.ChatRequest, seq *sequence) {
	truncate := e.consumeTruncation()
	if request.Stream {
		e.sendStream(w, ctx, request, seq, truncate)
		return
	}
	text := ""
	for t := range receive(ctx, seq.tokens) {
		text += t
	}
	if ctx.Err() != nil {
		return
	}
	data, _ := json.Marshal(peer.ChatAnswer{
		ID: seq.id, Object: "chat.completion", Model: request.Model,
		Choices: []peer.Choice{{Message: &peer.Message{Role: "assistant", Content: text}, FinishReason: "stop"}},
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	if truncate {
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (e *Engine) sendStream(w http.ResponseWriter, ctx context.Context, request peer.ChatRequest, seq *sequence, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	_ = control.Flush()
	sent, half := 0, (seq.end-seq.begin)/2
	for t := range receive(ctx, seq.tokens) {
		writeEvent(w, peer.ChatAnswer{
			ID: seq.id, Object: "chat.completion.chunk", Model: request.Model,
			Choices: []peer.Choice{{Delta: &peer.Message{Role: "assistant", Content: t}}},
		})
		_ = control.Flush()
		sent++
		if truncate && sent > half {
			panic(http.ErrAbortHandler)
		}
	}
	if ctx.Err() != nil {
		return
	}
	writeEvent(w, peer.ChatAnswer{
		ID: seq.id, Object: "chat.completion.chunk", Model: request.Model,
		Choices: []peer.Choice{{Delta: &peer.Message{}, FinishReason: "stop"}},
	})
	fmt.Fprintf(w, "%s\n\n", peer.DoneMarker)
}

// receive returns an iterator over tokens that stops when the channel is closed or ctx ends.
func receive(ctx context.Context, tokens <-chan string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for {
			select {
			case <-ctx.Done():
				return
			case t, ok := <-tokens:
				if !ok || !yield(t) {
					return
				}
			}
		}
	}
}

// consumeTruncation reports whether to truncate this answer, and decrements the number of answers
// left to truncate.
func (e *Engine) consumeTruncation() bool {
	consumed := false
	e.Faults.Update(func(f *Faults) {
		if f.TruncateStreams > 0 {
			f.TruncateStreams--
			consumed = true
		}
	})
	return consumed
}

func writeEvent(w http.ResponseWriter, event peer.ChatAnswer) {
	data, _ := json.Marshal(event)
	fmt.Fprintf(w, "data: %s\n\n", data)
}
