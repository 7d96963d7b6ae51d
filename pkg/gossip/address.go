package gossip

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Address is the address of a server, host:port. In a message, one with an IP address takes a few
// bytes.
type Address string

// The first byte of an encoded address says how the others are encoded.
const (
	addressText   = 0
	addressBinary = 1
)

// MarshalBinary implements encoding.BinaryMarshaler. It returns no error.
func (a Address) MarshalBinary() ([]byte, error) {
	if parsed, err := netip.ParseAddrPort(string(a)); err == nil && parsed.String() == string(a) {
		return parsed.AppendBinary([]byte{addressBinary})
	}
	return append([]byte{addressText}, a...), nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (a *Address) UnmarshalBinary(data []byte) error {
	if len(data) == 0 {
		return errors.New("the address is empty")
	}
	switch data[0] {
	case addressText:
		*a = Address(data[1:])
		return nil
	case addressBinary:
		var parsed netip.AddrPort
		if err := parsed.UnmarshalBinary(data[1:]); err != nil {
			return errors.Wrapf(err, "decode an address of %d bytes", len(data))
		}
		*a = Address(parsed.String())
		return nil
	}
	return errors.Newf("the address has encoding %d, want %d or %d", data[0], addressText, addressBinary)
}
