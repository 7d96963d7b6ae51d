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

// ListBytes is the traffic of reads of the instance list on one connection, in both directions.
type ListBytes struct {
	Instances int `json:"instances"`
	// Whole, Unchanged and OneChange are the bytes of a read of the whole list, of a read without a
	// change since the last one, and of a read after the change of one instance.
	Whole     int64 `json:"wholeBytes"`
	Unchanged int64 `json:"unchangedBytes"`
	OneChange int64 `json:"oneChangeBytes"`
	// FullReadPerSecond is the traffic in bytes a second of a node that reads the whole list each
	// second. IncrementalPerSecond is that of a node that reads only the changes each second, with
	// changesPerInstance, and the whole list once a day.
	FullReadPerSecond    float64 `json:"wholeEachSecond"`
	IncrementalPerSecond float64 `json:"bytesPerSecond"`
}

const (
	// changesPerInstance is the number of state changes of an instance in a day: 910 of 12,410
	// instances are restarted or replaced, with two changes each.
	changesPerInstance = 2 * 910 / 12_410.0
	secondsPerDay      = 24 * 60 * 60
)

func measureListBytes(ctx context.Context, instances int) (ListBytes, error) {
	rows := make([]instancelist.Instance, instances)
	for i := range rows {
		rows[i] = instancelist.Instance{
			Name: fmt.Sprintf("agent-engine-%05d", i), Role: instancelist.Agent, State: instancelist.Live, FailureDomain: fmt.Sprintf("region-1-domain-%d", i%16),
			Pool: "asistente-mostrador", DataAddress: "10.20.30.40:7101", ControlAddress: "10.20.30.40:7102",
		}
	}
	service := standin.New(rows)
	listener, err := newCountingListener()
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

// LinkBytes is the traffic of the messages of a link on its connection, and the memory of the link.
type LinkBytes struct {
	Links     int     `json:"links"`
	Hello     float64 `json:"helloBytesPerLink"`
	Status    float64 `json:"statusBytesPerLink"`
	Heartbeat float64 `json:"heartbeatBytesPerLink"`
	// FrameLoad is the number of bytes that a load adds to a frame.
	FrameLoad float64 `json:"frameLoadBytes"`
	// Memory is the heap and the stacks of both ends of a link.
	Memory float64 `json:"memoryBytesPerLink"`
}

// measureLinkBytes opens links as entries do, and sends one status and one heartbeat on each.
func measureLinkBytes(ctx context.Context, links int) (LinkBytes, error) {
	listener, err := newCountingListener()
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
	received := make(chan struct{}, links)
	methods := rpc.Methods{}
	for _, name := range []string{agentlink.MethodStatus, agentlink.MethodHeartbeat} {
		methods[name] = rpc.Typed(func(context.Context, *rpc.Conn, agentlink.Status) (any, error) {
			received <- struct{}{}
			return nil, nil
		})
	}
	memoryBefore := memoryInUse()
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
	out.Memory = (memoryInUse() - memoryBefore) / float64(links)
	send := func(method string, message any) float64 {
		before := listener.bytes.Load()
		for _, p := range all {
			_ = p.Notify(ctx, method, message)
		}
		for range all {
			select {
			case <-received:
			case <-time.After(receiveTimeout):
			}
		}
		return float64(listener.bytes.Load()-before) / float64(links)
	}
	out.FrameLoad = frameLoadBytes()
	out.Status = send(agentlink.MethodStatus, status)
	out.Heartbeat = send(agentlink.MethodHeartbeat, agentlink.Heartbeat{Running: 12, Waiting: 3, StepMS: 23.4})
	return out, nil
}

// frameLoadBytes returns the number of bytes that a load adds to a frame.
func frameLoadBytes() float64 {
	with, _ := json.Marshal(frame.Frame{Load: &frame.Load{Running: 12, Waiting: 3, StepMS: 23.4}})
	without, _ := json.Marshal(frame.Frame{})
	return float64(len(with) - len(without))
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

const receiveTimeout = 5 * time.Second

// countingListener is a loopback listener that counts the bytes of its connections.
type countingListener struct {
	*counted.Listener
	bytes *atomic.Int64
}

func newCountingListener() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	bytes := &atomic.Int64{}
	return &countingListener{Listener: counted.New(l, bytes), bytes: bytes}, nil
}
