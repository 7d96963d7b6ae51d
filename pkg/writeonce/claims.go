package writeonce

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Claim is the request of an agent to be the one that executes the call of a key.
type Claim struct {
	Key    string `json:"k"`
	Digest []byte `json:"d"`
}

// Batch is one record of a claim stream. A batch without claims is a marker: it shows that the
// stream has existed since the time of the record.
type Batch struct {
	// ID is unique per record.
	ID     string            `json:"id"`
	Agent  ident.Incarnation `json:"by"`
	Claims []Claim           `json:"c,omitempty"`
}

// Record is a record of a claim stream with the time at which the log accepted it.
type Record struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// Page is a sequence of records of a claim stream, read from offset From. First is the offset of
// the oldest record that the log still has, Next the offset of the next append.
type Page struct {
	From        int64
	First, Next int64
	Records     []Record
}

// recordMark identifies a record that has been read.
type recordMark struct {
	offset int64
	id     string
}

// ownerClaim is the first valid claim of a key.
type ownerClaim struct {
	agent   ident.Incarnation
	digest  Digest
	created time.Time
}

// ClaimIndex holds the first valid claim of each key in one claim stream. It is not safe for
// concurrent use.
type ClaimIndex struct {
	owners map[string]ownerClaim
	// oldest and lastRead are the first and the last record read since the last reset.
	oldest   *recordMark
	lastRead *recordMark
	// coveredSince is the log time from which on no record is missing.
	coveredSince time.Time
	// latestTime is the highest timestamp of a record.
	latestTime time.Time
	// regressed is true while the log ends before the last record read.
	regressed bool
	disabled  DisabledChecks
}

// NewClaimIndex returns an index that has read no records.
func NewClaimIndex() *ClaimIndex { return &ClaimIndex{owners: make(map[string]ownerClaim)} }

// ReadOffset returns the offset to read the next page from: that of the last record read, so that
// Observe can check that the stream is still the same.
func (c *ClaimIndex) ReadOffset() int64 {
	if c.lastRead == nil || c.regressed {
		return 0
	}
	return c.lastRead.offset
}

// NextOffset returns the offset of the first record that has not been read.
func (c *ClaimIndex) NextOffset() int64 {
	if c.lastRead == nil {
		return 0
	}
	return c.lastRead.offset + 1
}

// HasRecords reports whether a record of the stream has been read since the start or the last reset.
func (c *ClaimIndex) HasRecords() bool { return c.lastRead != nil }

// Regressed reports whether the log ends before the last record read.
func (c *ClaimIndex) Regressed() bool { return c.regressed }

// Observe applies a page that was read from ReadOffset() and ignores any other page. It reports
// whether the stream lost records or was restarted since the last page.
func (c *ClaimIndex) Observe(p Page) (lost bool) {
	if p.From != c.ReadOffset() {
		return false
	}
	if c.lastRead == nil {
		c.applyAll(p.Records)
		return false
	}
	if c.regressed {
		return c.observeRegressed(p)
	}
	if p.Next <= c.lastRead.offset {
		c.regressed = true
		return false
	}
	if c.disabled.TrustOffsets {
		c.applyAll(slices.DeleteFunc(slices.Clone(p.Records), func(r Record) bool { return r.Offset <= c.lastRead.offset }))
		return false
	}
	if len(p.Records) == 0 || !c.lastRead.matches(p.Records[0]) {
		c.reset()
		return true
	}
	c.applyAll(p.Records[1:])
	return false
}

// observeRegressed checks a page read from offset 0 while the log ends before the last record
// read. Either the reader reached a stale replica, or the log was restarted.
func (c *ClaimIndex) observeRegressed(p Page) (lost bool) {
	if len(p.Records) > 0 && p.Records[0].Offset <= c.oldest.offset && !c.oldest.matches(p.Records[0]) {
		c.reset()
		return true
	}
	c.regressed = p.Next <= c.lastRead.offset
	return false
}

// reset makes the next page the first one. Claims already read are kept, but keys created before
// that page are no longer covered.
func (c *ClaimIndex) reset() {
	c.lastRead, c.oldest = nil, nil
	c.coveredSince = time.Time{}
	c.regressed = false
}

func (c *ClaimIndex) applyAll(records []Record) {
	for _, r := range records {
		c.apply(r)
	}
}

func (c *ClaimIndex) apply(r Record) {
	var b Batch
	if json.Unmarshal(r.Data, &b) != nil {
		b = Batch{}
	}
	if r.Time.After(c.latestTime) {
		c.latestTime = r.Time
	}
	m := &recordMark{offset: r.Offset, id: b.ID}
	if c.lastRead == nil {
		c.oldest = m
		c.coveredSince = c.latestTime
	}
	c.lastRead = m
	for _, claim := range b.Claims {
		c.addClaim(b.Agent, claim)
	}
}

// addClaim stores a claim if it is valid and the first one of its key.
func (c *ClaimIndex) addClaim(agent ident.Incarnation, claim Claim) {
	key, err := ParseKey(claim.Key)
	if err != nil || key.IsPermit() || !c.valid(key) {
		return
	}
	if _, taken := c.owners[claim.Key]; taken && !c.disabled.LastClaimWins {
		return
	}
	o := ownerClaim{agent: agent, created: key.created}
	copy(o.digest[:], claim.Digest)
	c.owners[claim.Key] = o
}

// valid reports whether a claim that the log accepted at latestTime is valid.
func (c *ClaimIndex) valid(k Key) bool {
	return c.disabled.NoWindow || !c.tooEarly(k) && !c.Expired(k)
}

// tooEarly reports whether the key's creation time is more than MaxClockLead after latestTime.
func (c *ClaimIndex) tooEarly(k Key) bool { return c.latestTime.Before(k.created.Add(-MaxClockLead)) }

// Expired reports whether no later claim of the key can be valid.
func (c *ClaimIndex) Expired(k Key) bool { return c.latestTime.After(k.created.Add(KeyLifetime)) }

// Covers reports whether every valid claim of the key, past or future, is in the records already
// read or still to be read.
func (c *ClaimIndex) Covers(k Key) bool {
	if c.disabled.NoCoverage {
		return true
	}
	return !c.coveredSince.IsZero() && !c.regressed && !k.created.Add(-MaxClockLead).Before(c.coveredSince)
}

// ownerOf returns the first valid claim of the key.
func (c *ClaimIndex) ownerOf(k Key) (ownerClaim, bool) {
	o, ok := c.owners[k.text]
	return o, ok
}

// evictExpired removes claims whose keys can no longer be executed or answered.
func (c *ClaimIndex) evictExpired() {
	horizon := c.latestTime.Add(-KeyRetention)
	for key, o := range c.owners {
		if o.created.Before(horizon) {
			delete(c.owners, key)
		}
	}
}

func (m *recordMark) matches(r Record) bool {
	var b Batch
	return r.Offset == m.offset && json.Unmarshal(r.Data, &b) == nil && b.ID == m.id
}

// EncodeBatch encodes a batch as the data of a record.
func EncodeBatch(b Batch) ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode claims")
}
