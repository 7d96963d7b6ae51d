package membudget

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// TestReadClaimsItsBuffer guards against a buffer that is larger than what was claimed for it, and against a body that
// is taken for whole although its reader failed or its memory was refused.
func TestReadClaimsItsBuffer(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 100_000)
	for _, limit := range []int64{0, 1, 4096, 99_999, 100_000, 100_001, 1 << 20} {
		claimed := int64(0)
		data, err := Read(iotest.HalfReader(bytes.NewReader(content)), limit, func(n int64) bool { claimed += n; return true })
		if want := min(limit, 100_000); err != nil || int64(len(data)) != want || int64(cap(data)) > claimed {
			t.Errorf("limit %d: read %d bytes into %d, claimed %d, error %v", limit, len(data), cap(data), claimed, err)
		}
	}
	failed := errors.New("reset")
	if _, err := Read(io.MultiReader(bytes.NewReader(content), iotest.ErrReader(failed)), 1<<20, func(int64) bool { return true }); !errors.Is(err, failed) {
		t.Errorf("a broken body gives error %v", err)
	}
	room := int64(10_000)
	data, err := Read(bytes.NewReader(content), 1<<20, func(n int64) bool { room -= n; return room >= 0 })
	if !errors.Is(err, ErrNoMemory) || len(data) != 8192 {
		t.Errorf("read %d bytes, error %v", len(data), err)
	}
}
