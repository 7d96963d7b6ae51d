package writeonce

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/ident"
)

// Claim is the wish of an agent to run the call of a key.
type Claim struct {
	Key    string `json:"k"`
	Digest []byte `json:"d"`
}

// Batch is one record of a claim stream. A batch without claims only marks
// that the stream has been open since its time.
type Batch struct {
	// ID is unique to the record.
	ID     string            `json:"id"`
	Agent  ident.Incarnation `json:"by"`
	Claims []Claim           `json:"c,omitempty"`
}

// Record is a record of a claim stream with the time at which the log took it.
type Record struct {
	Offset int64
	Time   time.Time
	Data   []byte
}

// Page is a run of records of a claim stream that was read from the offset
// From. First is the offset of the oldest record held and Next the offset of
// the next append.
type Page struct {
	From        int64
	First, Next int64
	Records     []Record
}

// mark identifies a record that has been read.
type mark struct {
	offset int64
	id     string
}

// owner is the first valid claim of a key.
type owner struct {
	agent  ident.Incarnation
	digest Digest
	made   time.Time
}

// ClaimIndex folds one claim stream. It is not safe for concurrent use.
type ClaimIndex struct {
	owners map[string]owner
	oldest *mark
	last   *mark
	// since is the log's time from which on no record is missing.
	since time.Time
	// latest is the highest time of a record.
	latest time.Time
	// behind is true while the log shows less than has been read.
	behind bool
	faults DisabledChecks
}

// NewClaimIndex returns a fold that has read nothing.
func NewClaimIndex() *ClaimIndex { return &ClaimIndex{owners: make(map[string]owner)} }

// ReadOffset returns the offset to read the next page from. It is the last record
// read, so that Observe can tell whether the stream is still the same.
func (c *ClaimIndex) ReadOffset() int64 {
	if c.last == nil || c.behind {
		return 0
	}
	return c.last.offset
}

// NextOffset returns the offset of the first record that has not been read.
func (c *ClaimIndex) NextOffset() int64 {
	if c.last == nil {
		return 0
	}
	return c.last.offset + 1
}

// HasRecords reports whether a record of the stream has been read.
func (c *ClaimIndex) HasRecords() bool { return c.last != nil }

// Regressed reports whether the log shows less than has been read before.
func (c *ClaimIndex) Regressed() bool { return c.behind }

// Observe takes a page that was read from From(), and ignores any other. It
// reports whether the stream lost records or was started again since the last
// page.
func (c *ClaimIndex) Observe(p Page) (lost bool) {
	if p.From != c.ReadOffset() {
		return false
	}
	if c.last == nil {
		c.applyAll(p.Records)
		return false
	}
	if c.behind {
		return c.observeBehind(p)
	}
	if p.Next <= c.last.offset {
		c.behind = true
		return false
	}
	if c.faults.TrustOffsets {
		c.applyAll(slices.DeleteFunc(slices.Clone(p.Records), func(r Record) bool { return r.Offset <= c.last.offset }))
		return false
	}
	if len(p.Records) == 0 || !c.last.is(p.Records[0]) {
		c.restart()
		return true
	}
	c.applyAll(p.Records[1:])
	return false
}

// observeBehind takes a page from offset 0 on while the log shows less than
// has been read: it is an old replica, or a log that started again.
func (c *ClaimIndex) observeBehind(p Page) (lost bool) {
	if len(p.Records) > 0 && p.Records[0].Offset <= c.oldest.offset && !c.oldest.is(p.Records[0]) {
		c.restart()
		return true
	}
	c.behind = p.Next <= c.last.offset
	return false
}

// restart makes the next page the first one. Claims that were read stay known,
// but keys made before that page are no longer covered.
func (c *ClaimIndex) restart() {
	c.last, c.oldest = nil, nil
	c.since = time.Time{}
	c.behind = false
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
	if r.Time.After(c.latest) {
		c.latest = r.Time
	}
	m := &mark{offset: r.Offset, id: b.ID}
	if c.last == nil {
		c.oldest = m
		c.since = c.latest
	}
	c.last = m
	for _, claim := range b.Claims {
		c.take(b.Agent, claim)
	}
}

// take keeps the first valid claim of a key.
func (c *ClaimIndex) take(agent ident.Incarnation, claim Claim) {
	key, err := ParseKey(claim.Key)
	if err != nil || key.IsPermit() || !c.valid(key) {
		return
	}
	if _, taken := c.owners[claim.Key]; taken && !c.faults.LastClaimWins {
		return
	}
	o := owner{agent: agent, made: key.made}
	copy(o.digest[:], claim.Digest)
	c.owners[claim.Key] = o
}

// valid reports whether a claim that the log took at the latest time counts.
func (c *ClaimIndex) valid(k Key) bool {
	return c.faults.NoWindow || !c.early(k) && !c.Expired(k)
}

// early reports whether the key was made after the latest time of the log.
func (c *ClaimIndex) early(k Key) bool { return c.latest.Before(k.made.Add(-MaxClockLead)) }

// Expired reports whether no later claim of the key can count.
func (c *ClaimIndex) Expired(k Key) bool { return c.latest.After(k.made.Add(KeyLifetime)) }

// Covers reports whether every valid claim of the key that was ever made is
// among the records read or still to be read.
func (c *ClaimIndex) Covers(k Key) bool {
	if c.faults.NoCoverage {
		return true
	}
	return !c.since.IsZero() && !c.behind && !k.made.Add(-MaxClockLead).Before(c.since)
}

// owner returns the first valid claim of the key.
func (c *ClaimIndex) owner(k Key) (owner, bool) {
	o, ok := c.owners[k.text]
	return o, ok
}

// forget drops claims whose keys can neither run nor be answered any more.
func (c *ClaimIndex) forget() {
	horizon := c.latest.Add(-KeyRetention)
	for key, o := range c.owners {
		if o.made.Before(horizon) {
			delete(c.owners, key)
		}
	}
}

func (m *mark) is(r Record) bool {
	var b Batch
	return r.Offset == m.offset && json.Unmarshal(r.Data, &b) == nil && b.ID == m.id
}

// EncodeBatch returns the record of a batch.
func EncodeBatch(b Batch) ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode claims")
}
