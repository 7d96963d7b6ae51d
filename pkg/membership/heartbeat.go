package membership

import "time"

const (
	// heartbeatBytes is the size of one heartbeat on its connection.
	heartbeatBytes = 80
	// heartbeatBytesPerSecond limits the bandwidth of all heartbeats to one entry.
	heartbeatBytesPerSecond = 2000
	minHeartbeatInterval    = 200 * time.Millisecond
	// timeoutHeartbeats is the link timeout in heartbeat intervals.
	timeoutHeartbeats = 3
	minLinkTimeout    = time.Second
)

// HeartbeatInterval returns the interval between heartbeats on each of an entry's links. It grows
// with the number of links, so that all heartbeats together stay within heartbeatBytesPerSecond.
func HeartbeatInterval(links int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(links)*heartbeatBytes*time.Second/heartbeatBytesPerSecond)
}

// LinkTimeout returns the link timeout for the interval that HeartbeatInterval returns.
func LinkTimeout(links int) time.Duration {
	return max(minLinkTimeout, timeoutHeartbeats*HeartbeatInterval(links))
}
