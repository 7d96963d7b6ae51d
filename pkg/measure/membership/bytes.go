package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fescuehub/fescuehub/pkg/frame"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/measure/counted"
	"github.com/fescuehub/fescuehub/pkg/peer/agentlink"
	"github.com/fescuehub/fescuehub/pkg/peer/instancelist"
	"github.com/fescuehub/fescuehub/pkg/rpc"
	standin "github.com/fescuehub/fescuehub/pkg/standin/instancelist"
)

// ListBytes is what readings of the list cost on their connection, both ways.
type ListBytes struct {
	Instances int   `json:"instances"`
	Whole     int64 `json:"wholeBytes"`
	Unchanged int64 `json:"unchangedBytes"`
	OneChange int64 `json:"oneChangeBytes"`
	// FullReadPerSecond is the bytes a second of a node that reads the whole list
	// each second; Since of one that asks for changes, with the target's
	// restarts and replacements and one whole reading a day.
	FullReadPerSecond    float64 `json:"wholeEachSecond"`
	IncrementalPerSecond float64 `json:"bytesPerSecond"`
}

const (
	// changesPerInstance is how often an instance changes state in a day: 910
	// of 12,410 are restarted or replaced, each with two changes.
	changesPerInstance = 2 * 910 / 12_410.0
	secondsPerDay      = 24 * 60 * 60
)

func listBytes(ctx context.Context, instances int) (ListBytes, error) {
	rows := make([]instancelist.Instance, instances)
	for i := range rows {
		rows[i] = instancelist.Instance{
			Name: fmt.Sprintf("agent-engine-%05d", i), Role: instancelist.Agent, State: instancelist.Live, FailureDomain: fmt.Sprintf("region-1-domain-%d", i%16),
			Pool: "asistente-mostrador", DataAddress: "10.20.30.40:7101", ControlAddress: "10.20.30.40:7102",
		}
	}
	service := standin.New(rows)
	listener, err := newCounting()
	if err != nil {
		return ListBytes{}, err
	}
	server := &http.Server{Handler: service.Handler()}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := instancelist.New("http://" + listener.Addr().String())
	var list instancelist.List
	read := func() int64 {
		if err != nil {
			return 0
		}
		before := listener.bytes.Load()
		list, err = client.ReadSince(ctx, list)
		return listener.bytes.Load() - before
	}
	out := ListBytes{Instances: instances, Whole: read()}
	out.Unchanged = read()
	rows[0].State = instancelist.Leaving
	service.Put(rows[0])
	out.OneChange = read()
	changes := float64(instances) * changesPerInstance / secondsPerDay
	out.FullReadPerSecond = float64(out.Whole)
	out.IncrementalPerSecond = float64(out.Unchanged) + changes*float64(out.OneChange-out.Unchanged) + float64(out.Whole)/secondsPerDay
	return out, err
}

// LinkBytes is what the messages of links cost on their connection.
type LinkBytes struct {
	Links     int     `json:"links"`
	Hello     float64 `json:"helloBytesPerLink"`
	Status    float64 `json:"statusBytesPerLink"`
	Heartbeat float64 `json:"heartbeatBytesPerLink"`
	// FrameLoad is what a load adds to a frame.
	FrameLoad float64 `json:"frameLoadBytes"`
	// Memory is the heap and the stacks of both ends of a link.
	Memory float64 `json:"memoryBytesPerLink"`
}

// linkBytes opens links as entries do, and sends one status and one heartbeat on
// each.
func linkBytes(ctx context.Context, links int) (LinkBytes, error) {
	listener, err := newCounting()
	if err != nil {
		return LinkBytes{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	status := agentlink.Status{
		Name: "agent-engine-00001", Incarnation: ident.NewIncarnation("agent-engine-00001"), Pool: "asistente-mostrador", BackendUp: true, ConfigOffset: 123456,
	}
	status.Load.Running, status.Load.Waiting, status.Load.StepMS = 12, 3, 23.4
	peers := make(chan *rpc.Conn, links)
	server := rpc.NewServer(listener, tally.NoopScope, rpc.Methods{agentlink.MethodHello: rpc.Typed(
		func(_ context.Context, peer *rpc.Conn, _ agentlink.Hello) (any, error) {
			peers <- peer
			return status, nil
		})})
	go func() { _ = server.Run(ctx) }()
	got := make(chan struct{}, links)
	methods := rpc.Methods{}
	for _, name := range []string{agentlink.MethodStatus, agentlink.MethodHeartbeat} {
		methods[name] = rpc.Typed(func(context.Context, *rpc.Conn, agentlink.Status) (any, error) { got <- struct{}{}; return nil, nil })
	}
	empty := memoryInUse()
	for range links {
		conn, err := rpc.Dial(ctx, listener.Addr().String(), methods)
		if err != nil {
			return LinkBytes{}, err
		}
		defer conn.Close()
		var reply agentlink.Status
		hello := agentlink.Hello{Entry: "entry-001", Incarnation: ident.NewIncarnation("entry-001"), HeartbeatMS: 7000}
		if err := conn.Call(ctx, agentlink.MethodHello, hello, &reply); err != nil {
			return LinkBytes{}, err
		}
	}
	out := LinkBytes{Links: links, Hello: float64(listener.bytes.Load()) / float64(links)}
	all := make([]*rpc.Conn, links)
	for i := range all {
		all[i] = <-peers
	}
	out.Memory = (memoryInUse() - empty) / float64(links)
	send := func(method string, message any) float64 {
		before := listener.bytes.Load()
		for _, p := range all {
			_ = p.Notify(ctx, method, message)
		}
		for range all {
			select {
			case <-got:
			case <-time.After(receiveBound):
			}
		}
		return float64(listener.bytes.Load()-before) / float64(links)
	}
	out.FrameLoad = frameLoadBytes()
	out.Status = send(agentlink.MethodStatus, status)
	out.Heartbeat = send(agentlink.MethodHeartbeat, agentlink.Heartbeat{Running: 12, Waiting: 3, StepMS: 23.4})
	return out, nil
}

// frameLoadBytes returns by how much a load lengthens a frame.
func frameLoadBytes() float64 {
	with, _ := json.Marshal(frame.Frame{Load: &frame.Load{Running: 12, Waiting: 3, StepMS: 23.4}})
	less, _ := json.Marshal(frame.Frame{})
	return float64(len(with) - len(less))
}

// memoryInUse returns the bytes of live objects and of stacks.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

const receiveBound = 5 * time.Second

// countingListener is an open port whose bytes are counted.
type countingListener struct {
	*counted.Listener
	bytes *atomic.Int64
}

func newCounting() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bytes := &atomic.Int64{}
	return &countingListener{Listener: counted.New(l, bytes), bytes: bytes}, nil
}
