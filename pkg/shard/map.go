// Package shard provides a concurrent map that is split into shards, each with its own lock.
package shard

import (
	"hash/maphash"
	"sync"
)

// Count is the number of shards of a Map.
const Count = 32

// Map is a concurrent map whose entries are distributed over shards by a hash of the key.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [Count]mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// NewMap returns an empty Map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// Get returns the value of key and reports whether the Map contains key.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.entries[key]
	return v, ok
}

// Set stores the value of key.
func (m *Map[K, V]) Set(key K, value V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// Update replaces the value of key with the result of change, which it calls under the lock of the
// shard. It removes the entry if change returns false. change must not call methods of the Map.
func (m *Map[K, V]) Update(key K, change func(old V, found bool) (V, bool)) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.entries[key]
	next, keep := change(old, found)
	if !keep {
		delete(s.entries, key)
		return
	}
	s.entries[key] = next
}

// Range calls visit for every entry until visit returns false. It locks one shard at a time, so it
// does not see a consistent snapshot of the Map. visit must not call methods of the Map.
func (m *Map[K, V]) Range(visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].visitAll(visit) {
			return
		}
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

func (s *mapShard[K, V]) visitAll(visit func(K, V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.entries {
		if !visit(k, v) {
			return false
		}
	}
	return true
}

func (m *Map[K, V]) shardFor(key K) *mapShard[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%Count]
}
