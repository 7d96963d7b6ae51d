package membership

import "time"

const (
	// beatBytes is the size of one beat on its connection.
	beatBytes = 80
	// beatBytesPerSecond is what all beats to one entry may take.
	beatBytesPerSecond = 2000
	shortestBeat       = 200 * time.Millisecond
	// silentBeats is how many beats may be missed.
	silentBeats     = 3
	shortestSilence = time.Second
)

// BeatInterval returns how often each of an entry's links carries a beat, so
// that the entry stays within its bytes whatever the number of links.
func BeatInterval(links int) time.Duration {
	return max(shortestBeat, time.Duration(links)*beatBytes*time.Second/beatBytesPerSecond)
}

// Silence returns the bound of silence that fits BeatInterval.
func Silence(links int) time.Duration {
	return max(shortestSilence, silentBeats*BeatInterval(links))
}
