package gateway

import (
	"sync"
	"time"

	"github.com/fescuehub/fescuehub/pkg/gossip"
)

// digestReorderTime bounds how long an older digest of a planner may arrive after a newer one. A
// planner that starts again counts from an arbitrary number, so that the order means nothing beyond.
const digestReorderTime = time.Second

// groupName identifies a group of engines.
type groupName struct{ service, group string }

// receivedDigest is the newest digest of a group that was received.
type receivedDigest struct {
	planner  string
	sequence int64
	at       time.Time
}

// digestOrder recognises digests that arrive after newer ones. It is safe for concurrent use.
type digestOrder struct {
	mu     sync.Mutex
	newest map[groupName]receivedDigest
}

// isNewer reports whether a digest is newer than those of the same planner for the same group that
// were received lately.
func (o *digestOrder) isNewer(now time.Time, d *gossip.Digest) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := groupName{d.Service, d.Group}
	last := o.newest[key]
	if last.planner == d.PeerAddress && d.Sequence <= last.sequence && now.Sub(last.at) < digestReorderTime {
		return false
	}
	if o.newest == nil {
		o.newest = make(map[groupName]receivedDigest)
	}
	o.newest[key] = receivedDigest{d.PeerAddress, d.Sequence, now}
	return true
}
