package settings

import "testing"

// TestSharesOfSmallestInstance guards against limits that ordinary callers reach on the smallest instance of a
// deployment (184 MB, 4,100 descriptors): a body of 4 MB with a head of 16 KB, and more than 1,000 connections of
// callers, while all connections together stay within the descriptors.
func TestSharesOfSmallestInstance(t *testing.T) {
	s := Instance{MemoryBytes: 184 << 20, MaxDescriptors: 4100}
	if s.RequestMemory() < 8<<20 || s.CallerConns() < 1000 || s.InternalConns() < 100 {
		t.Errorf("%d bytes, %d connections of callers, %d of others", s.RequestMemory(), s.CallerConns(), s.InternalConns())
	}
	for _, maxDescriptors := range []int{460, 1024, 4100, 20_000} {
		s.MaxDescriptors = maxDescriptors
		// A caller's connection needs another one to a backend server.
		if total := 2*s.CallerConns() + 3*s.InternalConns() + ownDescriptors; total > maxDescriptors-ReservedDescriptors {
			t.Errorf("%d of %d descriptors", total, maxDescriptors-ReservedDescriptors)
		}
	}
	if unbounded := (Instance{}); unbounded.CallerConns() != 0 || unbounded.InternalConns() != 0 || unbounded.RequestMemory() != 0 {
		t.Error("settings without limits bound connections or memory")
	}
}
