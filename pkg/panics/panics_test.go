package panics_test

import (
	"strings"
	"testing"

	"github.com/fescuehub/fescuehub/pkg/panics"
)

func TestCatchReturnsPanicsAsErrors(t *testing.T) {
	if err := panics.Catch(func() {}); err != nil {
		t.Error(err)
	}
	err := panics.Catch(func() { panic("index out of range") })
	if err == nil || !strings.Contains(err.Error(), "index out of range") || !strings.Contains(err.Error(), "panics_test.go") {
		t.Errorf("got %v, want the value and the stack of the panic", err)
	}
}
