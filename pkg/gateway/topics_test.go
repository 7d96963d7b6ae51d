package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/fescuehub/fescuehub/pkg/directory"
	"github.com/fescuehub/fescuehub/pkg/follow"
)

// TestTimeUntilChangeReachesEntries guards against constants with which a change of the configuration or of the
// servers reaches an entry later than the operators allow when both log readers fail just before it. The terms are
// those of docs/design/readers.md.
func TestTimeUntilChangeReachesEntries(t *testing.T) {
	const (
		bound = 2 * time.Second
		// margin is left for a busy machine, messageTime is a message and its processing there, and callTime a
		// call to the log that takes 25 times as long as usual.
		margin      = 250 * time.Millisecond
		messageTime = 50 * time.Millisecond
		callTime    = 100 * time.Millisecond
	)
	const replace = messageTime + callTime + messageTime + follow.UrgentPause + callTime
	for name, notice := range map[string]time.Duration{
		"cut off": monitorWait + follow.PollSlack,
		"stopped": directory.MaxReaderSilence + follow.LeaderCheckInterval,
	} {
		if sum := notice + replace; sum > bound-margin {
			t.Errorf("%s: a change reaches the entries after %v, want at most %v", name, sum, bound-margin)
		}
	}
	for _, others := range []int{8, 36, 148} {
		t.Run(fmt.Sprint(others), func(t *testing.T) {
			// Two messages of a reader may be lost before it counts as silent.
			if interval := min(stateInterval(others), readerStateInterval); 4*interval > directory.MaxReaderSilence {
				t.Errorf("a log reader sends each %v, want four messages within %v", interval, directory.MaxReaderSilence)
			}
		})
	}
}
