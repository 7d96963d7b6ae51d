package gossip

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the first byte of a message. It changes with the encoding, so that instances of
// different releases skip each other's messages instead of misreading them.
const formatVersion = 2

var (
	encoder = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoder = must(cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 13, MaxMapPairs: 1 << 13}.DecMode())
)

// must returns the mode of constant options, which are valid in every build or in none.
func must[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns a message as a datagram: the format version and then CBOR, which takes half of the
// bytes that JSON takes for a digest.
func Encode(m Message) ([]byte, error) {
	data, err := encoder.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode the gossip message")
	}
	return append([]byte{formatVersion}, data...), nil
}

// Decode returns the message of a datagram. The error says why it cannot be read.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return Message{}, errors.New("the datagram is empty")
	}
	if data[0] != formatVersion {
		return Message{}, errors.Newf("the datagram has format version %d, this release reads %d: run the same release on all instances", data[0], formatVersion)
	}
	var m Message
	if err := decoder.Unmarshal(data[1:], &m); err != nil {
		return Message{}, errors.Wrap(err, "decode the gossip message")
	}
	return m, nil
}
