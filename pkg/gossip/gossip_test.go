package gossip_test

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// TestMalformedMessagesAreSkipped guards against a process that ends, or stops receiving, after one
// malformed datagram or one whose handling panics.
func TestMalformedMessagesAreSkipped(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	ctx, cancel := context.WithCancel(context.Background())
	socket, err := gossip.Open(ctx, "127.0.0.1:0", zap.New(core))
	if err != nil {
		t.Fatal(err)
	}
	received := make(chan string, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		socket.Run(ctx, func(_ netip.AddrPort, m gossip.Message) {
			if m.Entry.Name == "panic" { // panics as well if the message has no entry
				panic("index out of range")
			}
			received <- m.Entry.Name
		})
	}()
	defer func() {
		cancel()
		<-done
	}()
	peer, err := net.Dial("udp", socket.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	encode := func(m gossip.Message) string {
		data, err := gossip.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		return string(data)
	}
	sound := encode(gossip.Message{Entry: &gossip.EntryState{Name: "sound"}})
	for _, datagram := range []string{
		"", "{", "null", `{"entry":5}`, strings.Repeat("x", 50_000),
		sound[:1], sound[:len(sound)-1], "\x01" + sound[1:], "\x02\xff", "\x02\xa1\x65entry\x05", "\x02" + strings.Repeat("\x81", 1000),
		encode(gossip.Message{}), encode(gossip.Message{Entry: &gossip.EntryState{Name: "panic"}}), sound,
	} {
		if _, err := peer.Write([]byte(datagram)); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case name := <-received:
		if name != "sound" {
			t.Errorf("received the message of %q, want sound", name)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("no message is received after malformed ones")
	}
	if logs.Len() == 0 || logs.FilterMessageSnippet("failed to handle").Len() == 0 {
		t.Errorf("want lines about the skipped messages, got %v", logs.All())
	}
}
