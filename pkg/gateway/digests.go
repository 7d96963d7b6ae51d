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
	// engineVersion is the version of the configuration that it was made with.
	engineVersion int64
	at            time.Time
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
	o.newest[key] = receivedDigest{d.PeerAddress, d.Sequence, d.EngineVersion, now}
	return true
}

// plannerHasEngine reports whether a digest of a group of the service was received after a time that was
// made with a version of the configuration or a newer one.
func (o *digestOrder) plannerHasEngine(since time.Time, service string, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for key, last := range o.newest {
		if key.service == service && last.at.After(since) && last.engineVersion >= version {
			return true
		}
	}
	return false
}
