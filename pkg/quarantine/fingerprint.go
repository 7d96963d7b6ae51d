package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

const (
	// fingerprintPrefix marks the ID of a fingerprint among the IDs of parts, which callers state without
	// a colon.
	fingerprintPrefix = "request:"
	// fingerprintBytes is the length of a fingerprint's digest. A caller cannot construct a request that
	// has the digest of another caller's request.
	fingerprintBytes = 12
)

// Identity is what requests that are alike have in common. Their IDs, deadlines and connections differ.
type Identity struct {
	Method, Host string
	// Target is the path and query.
	Target string
	// Caller is the organisation that sends the request; empty if it is not known.
	Caller string
	// SharedParts are those of the prompt, which need not be in the body.
	SharedParts []string
	Body        []byte
}

// Fingerprint returns the ID by which requests that are alike are recognised. It reveals neither the body
// nor the caller.
func Fingerprint(i Identity) string {
	digest := sha256.New()
	var header []byte
	for _, field := range append([]string{i.Method, strings.ToLower(i.Host), i.Target, i.Caller}, i.SharedParts...) {
		header = append(binary.AppendUvarint(header, uint64(len(field))), field...)
	}
	digest.Write(binary.AppendUvarint(nil, uint64(len(header))))
	digest.Write(header)
	digest.Write(i.Body)
	return fingerprintPrefix + hex.EncodeToString(digest.Sum(nil)[:fingerprintBytes])
}

// IsFingerprint reports whether an ID is that of a whole request, not of a part of a prompt.
func IsFingerprint(id string) bool { return strings.HasPrefix(id, fingerprintPrefix) }
