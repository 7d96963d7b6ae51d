package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/balance"
	"github.com/fescuehub/fescuehub/pkg/fleet"
	"github.com/fescuehub/fescuehub/pkg/ratelimit"
)

// TestCapacityCountsUsableSlots guards against requests that wait for slots of engines that get no requests, and
// against free slots that balance the requests waiting at other engines.
func TestCapacityCountsUsableSlots(t *testing.T) {
	b := balance.New(ratelimit.New(""))
	list := servers(3)
	list[2].Group = "other"
	b.SetServers(list)
	slots := engines.Engine.Slots
	for range slots + 3 {
		b.Begin(start, list[0].ID, 0)
	}
	b.Begin(start, list[1].ID, 0)
	if c := b.Capacity(start, engines); c.Slots != 3*slots || c.Free != 2*slots-1 || c.StreamTime <= 0 {
		t.Errorf("capacity %+v, want %d slots, %d of them free", c, 3*slots, 2*slots-1)
	}
	b.UpdateGroup(start, engines.Name, "other", fleet.GroupBroken, nil)
	if c := b.Capacity(start, engines); c.Slots != 2*slots || c.Free != slots-1 {
		t.Errorf("with a broken group: %+v, want %d slots, %d of them free", c, 2*slots, slots-1)
	}
	b.Pause(start, list[1], start.Add(time.Second))
	if c := b.Capacity(start, engines); c.Slots != slots || c.Free != 0 {
		t.Errorf("with a paused engine: %+v, want %d slots, none of them free", c, slots)
	}
	if c := b.Capacity(start, &fleet.Service{Name: "plain"}); c.Slots != 0 {
		t.Errorf("a service without engines: %+v", c)
	}
}

// BenchmarkCapacity measures the count of the free slots of 72 engines by the number of entries.
func BenchmarkCapacity(b *testing.B) {
	for _, entries := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(entries, "-entries"), func(b *testing.B) {
			l := balance.New(ratelimit.New(""))
			l.SetServers(servers(72))
			for n := range entries {
				loads := make(map[string]balance.Load)
				if entries <= 12 { // larger fleets send no loads
					for _, s := range servers(72) {
						loads[s.ID] = balance.Load{Requests: 1}
					}
				}
				l.SetEntryLoads(start, fmt.Sprint(n), loads)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Capacity(start, engines)
			}
		})
	}
}
