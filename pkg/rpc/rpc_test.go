package rpc_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/problem"
	"github.com/fescuehub/fescuehub/pkg/rpc"
)

type number struct {
	N int `json:"n"`
}

// serve runs a server and returns its address. The server's method "half" halves an even number and
// fails for an odd one; "panic" panics.
func serve(t *testing.T, scope tally.Scope) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := rpc.NewServer(l, scope, rpc.Methods{"half": rpc.Typed(func(_ context.Context, _ *rpc.Conn, p number) (any, error) {
		if p.N%2 != 0 {
			return nil, problem.New(problem.KeyReused, "send an even number", "%d is odd", p.N).WithOutcome(problem.NotRun)
		}
		return number{p.N / 2}, nil
	}), "panic": rpc.Typed(func(context.Context, *rpc.Conn, number) (any, error) {
		panic("index out of range")
	})})
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func TestCallPreservesErrorKindAndOutcome(t *testing.T) {
	conn, err := rpc.Dial(context.Background(), serve(t, tally.NoopScope), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var got number
	if err := conn.Call(context.Background(), "half", number{4}, &got); err != nil || got.N != 2 {
		t.Fatalf("half of 4: got %v, error %v", got, err)
	}
	err = conn.Call(context.Background(), "half", number{3}, &got)
	if p := problem.Of(err); p.Kind != problem.KeyReused || p.Outcome != problem.NotRun || p.Remedy != "send an even number" {
		t.Fatalf("got %+v", p)
	}
	if err := conn.Call(context.Background(), "half", "text", &got); !problem.Is(err, problem.BadRequest) {
		t.Fatalf("got %v", err)
	}
	if err := conn.Call(context.Background(), "none", number{}, &got); !problem.Is(err, problem.Unavailable) {
		t.Fatalf("got %v", err)
	}
}

// TestMalformedMessageClosesOnlyItsConnection guards against a server that answers malformed or
// oversized messages, or that stops serving other connections after one.
func TestMalformedMessageClosesOnlyItsConnection(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	address := serve(t, scope)
	for _, text := range []string{"GET / HTTP/1.1\r\n\r\n", "{\"jsonrpc\":\n", "\x00\xff\n", strings.Repeat("x", rpc.MaxMessageBytes+2) + "\n"} {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(30 * time.Second))
		go func() { _, _ = nc.Write([]byte(text)) }()
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			t.Errorf("the server answered %.20q", text)
		}
		_ = nc.Close()
	}
	conn, err := rpc.Dial(context.Background(), address, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var got number
	if err := conn.Call(context.Background(), "half", number{2}, &got); err != nil {
		t.Fatal(err)
	}
	if c := scope.Snapshot().Counters()["rpc_broken_messages+"]; c == nil || c.Value() == 0 {
		t.Fatal("broken messages were not counted")
	}
}

func TestCallFailsWhenConnectionCloses(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	conn, err := rpc.Dial(context.Background(), l.Addr().String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Call(context.Background(), "half", number{2}, nil); !problem.Is(err, problem.Unavailable) {
		t.Fatalf("got %v", err)
	}
	<-conn.Done()
}

func TestProblemJSONRoundTrip(t *testing.T) {
	p := problem.New(problem.Overloaded, "try again later", "the queue is full").WithOutcome(problem.NotRun).WithRetryAfter(1500 * time.Millisecond)
	data, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var decoded problem.Error
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&decoded); err != nil || decoded != *p {
		t.Fatalf("decoded %+v, error %v", decoded, err)
	}
	if doc := p.Document(); doc.Status != 429 || doc.RetryAfterSeconds != 2 {
		t.Fatalf("document: got %+v, want status 429 and a retry after 2 s", doc)
	}
}

// TestPanicOfMethodFailsOnlyItsCall guards against a process that ends because the handling of one
// call panics. The call must fail without a claim about its outcome, and the connection stays usable.
func TestPanicOfMethodFailsOnlyItsCall(t *testing.T) {
	conn, err := rpc.Dial(context.Background(), serve(t, tally.NoopScope), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var got number
	err = conn.Call(context.Background(), "panic", number{4}, &got)
	if p := problem.Of(err); p.Kind != problem.Internal || p.Outcome != "" {
		t.Errorf("got kind %q, outcome %q; want internal without an outcome", p.Kind, p.Outcome)
	}
	if err := conn.Call(context.Background(), "half", number{4}, &got); err != nil || got.N != 2 {
		t.Errorf("the next call: got %v, error %v", got, err)
	}
}
