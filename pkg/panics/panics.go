// Package panics turns a panic into an error, so that a defect in the handling of one message does
// not end the process and all other work in it.
package panics

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
)

// maxStackBytes bounds the stack in the text of an error.
const maxStackBytes = 4 << 10

// Catch calls run. If run panics, Catch returns an error with the value of the panic and the stack.
// Locks that run holds without a deferred unlock stay locked.
func Catch(run func()) (err error) {
	defer func() {
		if value := recover(); value != nil {
			stack := debug.Stack()
			err = errors.Newf("panic: %v\n%s", value, stack[:min(len(stack), maxStackBytes)])
		}
	}()
	run()
	return nil
}
