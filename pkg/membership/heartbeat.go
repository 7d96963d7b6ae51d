package membership

import "time"

const (
	// heartbeatBytes is the size of one heartbeat on its connection.
	heartbeatBytes = 80
	// heartbeatBytesPerSecond is what all heartbeats to one entry may take.
	heartbeatBytesPerSecond = 2000
	shortestHeartbeat       = 200 * time.Millisecond
	// silentHeartbeats is how many heartbeats may be missed.
	silentHeartbeats = 3
	shortestSilence  = time.Second
)

// HeartbeatInterval returns how often each of an entry's links carries a heartbeat, so
// that the entry stays within its bytes whatever the number of links.
func HeartbeatInterval(links int) time.Duration {
	return max(shortestHeartbeat, time.Duration(links)*heartbeatBytes*time.Second/heartbeatBytesPerSecond)
}

// LinkTimeout returns the bound of silence that fits HeartbeatInterval.
func LinkTimeout(links int) time.Duration {
	return max(shortestSilence, silentHeartbeats*HeartbeatInterval(links))
}
