// Package configuration measures the cost of the configuration for a node: bytes, computation time
// and memory by the size of the tables, and the time from an edit until it is in force.
package configuration

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
	"go.uber.org/zap"

	"github.com/fescuehub/fescuehub/pkg/configfold"
	"github.com/fescuehub/fescuehub/pkg/configpublish"
	"github.com/fescuehub/fescuehub/pkg/configsnapshot"
	"github.com/fescuehub/fescuehub/pkg/configuration"
	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/measure/counted"
	peer "github.com/fescuehub/fescuehub/pkg/peer/logservice"
	"github.com/fescuehub/fescuehub/pkg/standin/logservice"
)

// changeCount is the number of edits that each row is measured with.
const changeCount = 100

// SizeRow is the cost of tables with Routes routes of Organisations organisations each.
type SizeRow struct {
	Routes        int `json:"routes"`
	Organisations int `json:"organisations"`
	// WholeBytes is the size of the record that publishes all of the tables at once.
	WholeBytes int `json:"wholeBytes"`
	// SnapshotBytes and SnapshotRecords are the size and the number of records of one snapshot.
	SnapshotBytes   int `json:"snapshotBytes"`
	SnapshotRecords int `json:"snapshotRecords"`
	// ChangeBytes is the size of the record that changes one organisation of one route.
	ChangeBytes int `json:"changeBytes"`
	// NodeBytes is the traffic between one entry and the log for such a change, in both directions,
	// without TCP and IP headers. It includes the headers of the append.
	NodeBytes int `json:"nodeBytes"`
	// FoldMicros and ViewMicros are the elapsed times of folding such a change into the state and of
	// updating the view.
	FoldMicros float64 `json:"foldMicros"`
	ViewMicros float64 `json:"viewMicros"`
	// StateMB is the heap memory of the state, its view and the record that published the tables.
	StateMB float64 `json:"stateMB"`
}

// MeasureSizes measures tables of several sizes.
func MeasureSizes(ctx context.Context) ([]SizeRow, error) {
	var rows []SizeRow
	for _, s := range []SizeRow{{Routes: 1, Organisations: 490}, {Routes: 1, Organisations: 4900}, {Routes: 4, Organisations: 4900}, {Routes: 13, Organisations: 4900}} {
		row, err := measure(ctx, s)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func measure(ctx context.Context, row SizeRow) (SizeRow, error) {
	before := heapBytes()
	record, err := encodeTables(row)
	if err != nil {
		return row, err
	}
	row.WholeBytes = len(record)
	state, result, err := configfold.Fold(configfold.Empty(), 0, record)
	if err != nil || !result.Accepted {
		return row, fmt.Errorf("fold rejected the published tables: result %v, error %v", result, err)
	}
	view := configuration.NewView(state)
	row.StateMB = float64(heapBytes()-before) / 1e6
	snapshot, err := configsnapshot.Split(state, "snapshot")
	if err != nil {
		return row, err
	}
	row.SnapshotRecords = len(snapshot)
	for _, r := range snapshot {
		row.SnapshotBytes += len(r)
	}
	if err := measureFold(&row, state, view); err != nil {
		return row, err
	}
	return row, measureNode(ctx, &row, record)
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// encodeTables returns the record that publishes the tables of a row at once.
func encodeTables(row SizeRow) ([]byte, error) {
	t := configpublish.Tables{
		Routes:        make(map[string]json.RawMessage),
		Pools:         map[string]json.RawMessage{"engines": json.RawMessage(`{"name":"engines","kind":"model","concurrency":8}`)},
		Organisations: make(map[string]map[string]json.RawMessage),
	}
	for r := range row.Routes {
		name := routeName(r)
		t.Routes[name] = json.RawMessage(fmt.Sprintf(`{"name":%q,"pool":"engines","deadlineMS":20000}`, name))
		t.Organisations[name] = make(map[string]json.RawMessage, row.Organisations)
		for o := range row.Organisations {
			t.Organisations[name][organisationName(o)] = organisation(o, 1)
		}
	}
	return configfold.Encode(configpublish.Diff(configfold.Empty(), t, ident.NewEditID()))
}

func routeName(r int) string { return fmt.Sprintf("asistente-%d", r) }

func organisationName(o int) string { return fmt.Sprintf("organisation-%d", o) }

func organisation(o, share int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"name":%q,"share":%d,"class":"interactive"}`, organisationName(o), share))
}

// encodeChange returns the record that changes one organisation of the first route.
func encodeChange(s configfold.State, i int) ([]byte, error) {
	name := organisationName(i)
	return configfold.Encode(configfold.Edit{
		FoldVersion: configfold.FoldVersion, ID: ident.NewEditID(),
		Changes: []configfold.Change{{
			Table: configfold.Routes, Name: routeName(0), Organisation: name,
			Base: s.Organisations[routeName(0)][name].Revision, Value: organisation(i, 2),
		}},
	})
}

func measureFold(row *SizeRow, s configfold.State, v *configuration.View) error {
	var foldTime, viewTime time.Duration
	for i := range changeCount {
		record, err := encodeChange(s, i)
		if err != nil {
			return err
		}
		row.ChangeBytes = len(record)
		start := time.Now()
		next, _, err := configfold.Fold(s, s.Offset+1, record)
		if err != nil {
			return err
		}
		folded := time.Now()
		v = v.Next(next)
		foldTime += folded.Sub(start)
		viewTime += time.Since(folded)
		s = next
	}
	row.FoldMicros = float64(foldTime.Microseconds()) / changeCount
	row.ViewMicros = float64(viewTime.Microseconds()) / changeCount
	return nil
}

// measureNode counts the bytes that one follower exchanges with a log over loopback while it reads
// changes one by one.
func measureNode(ctx context.Context, row *SizeRow, record []byte) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var bytes atomic.Int64
	server := &http.Server{Handler: logservice.New(logservice.Options{AppendsPerSecond: 10_000, Retention: time.Hour}).Handler()}
	go func() { _ = server.Serve(counted.New(listener, &bytes)) }()
	defer server.Close()

	writer := peer.New("http://" + listener.Addr().String())
	if _, err := writer.Append(ctx, configuration.Stream, record); err != nil {
		return err
	}
	store := configuration.NewStore()
	follower := configuration.NewFollower(zap.NewNop(), tally.NoopScope, peer.New("http://"+listener.Addr().String()), store, configuration.SnapshotOptions{})
	go func() { _ = follower.Run(ctx) }()
	if err := awaitOffset(ctx, store, 0); err != nil {
		return err
	}
	var appendedBytes, start int64
	for i := range changeCount + 1 {
		if i == 1 {
			// At the first change, the follower reads the whole first record again. That is not
			// counted.
			appendedBytes, start = 0, bytes.Load()
		}
		r, err := encodeChange(store.View().State, i)
		if err != nil {
			return err
		}
		if _, err := writer.Append(ctx, configuration.Stream, r); err != nil {
			return err
		}
		appendedBytes += int64(len(r))
		if err := awaitOffset(ctx, store, int64(1+i)); err != nil {
			return err
		}
	}
	row.NodeBytes = int((bytes.Load() - start - appendedBytes) / changeCount)
	return nil
}

func awaitOffset(ctx context.Context, store *configuration.Store, offset int64) error {
	for {
		changed := store.Changed()
		if store.View().State.Offset >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
