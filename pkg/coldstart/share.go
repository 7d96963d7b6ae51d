package coldstart

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"
)

// entry is a known entry.
type entry struct {
	name string
	hash uint64
}

func newEntry(name string) entry { return entry{name, hashOf(name)} }

func (k key) hash() uint64 { return hashOf(k.id + "\x00" + strconv.FormatInt(k.incarnation, 10)) }

// hashOf must be the same in all entries of a deployment.
func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash accepts all writes
	return mix(h.Sum64())
}

// mix spreads similar hashes over all bits (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// compare orders entries for a server by rendezvous hashing: an entry that comes or goes moves the others by one
// place at most.
func compare(s *server, a, b entry) int {
	return cmp.Or(cmp.Compare(mix(b.hash^s.hash), mix(a.hash^s.hash)), strings.Compare(a.name, b.name))
}

// share returns this entry's part of a number of requests to a server: equal parts, and one more for the first
// entries in their order, so that the parts of all entries add up to the number. l.mu is held.
func (l *Limiter) share(s *server, count int) int {
	if s.rankVersion != l.version {
		s.rank, s.rankVersion = 0, l.version
		self := newEntry(l.self)
		for _, e := range l.entries {
			if compare(s, e, self) < 0 {
				s.rank++
			}
		}
	}
	share := count / len(l.entries)
	if s.rank < count%len(l.entries) {
		share++
	}
	return share
}

// forgetEntries forgets the entries that were not heard for long. l.mu is held.
func (l *Limiter) forgetEntries(now time.Time) {
	for name, at := range l.heard {
		if now.Sub(at) > entryMemory {
			delete(l.heard, name)
			l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return e.name == name })
			l.version++
		}
	}
}

// service holds the usable servers of one service.
type service struct {
	servers []*server
	// widened is the server to which this entry may send although it has no share; nil if there is none. It is
	// valid for widenedVersion.
	widened        *server
	widenedVersion int
}

func (v *service) sameServers(other *service) bool { return slices.Equal(v.servers, other.servers) }

// isWidened reports whether this entry may send one request per second to a server although it has no share of it. While
// all servers of a service are cold, an entry without any share could serve no request. It may use the server that comes
// first in its order, as long as such entries need at most half of the difference between the rate and the operators'
// bound. The other half is a reserve for entries that know different entries or servers. l.mu is held.
func (l *Limiter) isWidened(now time.Time, s *server) bool {
	v := l.services[s.service]
	if v == nil {
		return false
	}
	for _, other := range v.servers {
		if !other.cold(now) {
			return false
		}
	}
	if v.widenedVersion != l.version {
		v.widened, v.widenedVersion = l.widen(s.service, v), l.version
	}
	return v.widened == s
}

// widen returns the server that this entry may use without a share; nil if there is none. l.mu is held.
func (l *Limiter) widen(name string, v *service) *server {
	count, _ := units(l.aim(name))
	bound, stated := l.bound(name)
	room := int((bound - l.aim(name)) / 2)
	for _, s := range v.servers {
		if l.share(s, count) > 0 {
			return nil
		}
	}
	if !stated || room <= 0 || l.perSecond[name] < 1 {
		return nil
	}
	without := slices.Clone(l.entries)
	for _, s := range v.servers {
		order := slices.Clone(l.entries)
		slices.SortFunc(order, func(a, b entry) int { return compare(s, a, b) })
		last := order[count-1]
		without = slices.DeleteFunc(without, func(e entry) bool { return compare(s, e, last) <= 0 })
	}
	self := newEntry(l.self)
	home := firstFor(v.servers, self)
	before := 0
	for _, e := range without {
		if firstFor(v.servers, e) == home && compare(home, e, self) < 0 {
			before++
		}
	}
	if before < room {
		return home
	}
	return nil
}

// firstFor returns the server that is first for an entry.
func firstFor(servers []*server, e entry) *server {
	return slices.MaxFunc(servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(mix(e.hash^a.hash), mix(e.hash^b.hash)), strings.Compare(a.id, b.id))
	})
}
