package writeonce

import (
	"crypto/sha256"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fescuehub/fescuehub/pkg/ident"
	"github.com/fescuehub/fescuehub/pkg/problem"
)

const permitPrefix = "permit:"

// Key is a parsed idempotency key.
type Key struct {
	text string
	// owner is the incarnation that issued a permit, empty for a dated key.
	owner ident.Incarnation
	// issued is the time of issue of a permit, counted from the start of its owner.
	issued time.Duration
	// created is the creation time of a dated key, by the clock of the caller.
	created time.Time
}

// NewPermit returns a permit. issued is the time since the start of the owner; serial must be
// unique per owner.
func NewPermit(owner ident.Incarnation, issued time.Duration, serial uint64) Key {
	issued = issued.Truncate(time.Millisecond)
	text := fmt.Sprintf("%s%s/%d/%d", permitPrefix, owner, issued.Milliseconds(), serial)
	return Key{text: text, owner: owner, issued: issued}
}

// ParseKey parses an idempotency key. The error has the kind KeyUndated and the outcome NotRun: a
// call under a key that cannot be parsed is never executed.
func ParseKey(text string) (Key, error) {
	if rest, ok := strings.CutPrefix(text, permitPrefix); ok {
		return parsePermit(text, rest)
	}
	created, err := ident.KeyTime(text)
	if err != nil {
		return Key{}, problem.Of(err).WithOutcome(problem.NotRun)
	}
	return Key{text: text, created: created}, nil
}

func parsePermit(text, rest string) (Key, error) {
	parts := strings.Split(rest, "/")
	if len(parts) == 3 && strings.Contains(parts[0], "@") {
		issued, err := strconv.ParseUint(parts[1], 10, 40)
		serial, serialErr := strconv.ParseUint(parts[2], 10, 64)
		if err == nil && serialErr == nil {
			key := NewPermit(ident.Incarnation(parts[0]), time.Duration(issued)*time.Millisecond, serial)
			if key.text == text {
				return key, nil
			}
		}
	}
	return Key{}, problem.New(problem.KeyUndated, "send a permit exactly as the address answer gave it, or a UUID version 7",
		"the permit %q is malformed", text).WithOutcome(problem.NotRun)
}

// String returns the key in the form in which callers send it.
func (k Key) String() string { return k.text }

// Owner returns the incarnation that a permit names, or an empty one for a dated key.
func (k Key) Owner() ident.Incarnation { return k.owner }

// IsPermit reports whether the key is a permit.
func (k Key) IsPermit() bool { return k.owner != "" }

// Partition returns the index of the claim stream that the key belongs to.
func (k Key) Partition() int { return int(xxhash.Sum64String(k.text) % Partitions) }

// Digest is a hash of the content of a call.
type Digest [16]byte

// Content is the part of a call that is bound to its key. All attempts of one call have the same
// content.
type Content struct {
	Route, Organisation string
	Method, Path        string
	Body                []byte
}

func (c Content) Digest() Digest {
	h := sha256.New()
	fmt.Fprintf(h, "%q %q %q %q\n", c.Route, c.Organisation, c.Method, c.Path)
	h.Write(c.Body)
	return Digest(h.Sum(nil)[:len(Digest{})])
}
