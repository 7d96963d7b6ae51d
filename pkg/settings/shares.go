package settings

const (
	// ReservedDescriptors is the number of descriptors that the operators keep for themselves.
	ReservedDescriptors = 200
	// ownDescriptors is the number of descriptors that a process needs besides the connections that are bounded: its
	// listeners, the connections to the shared log and to the processes that it controls.
	ownDescriptors = 64
	// callerShare is the share of the other descriptors for callers' connections. Each request that runs needs
	// another one for its backend server. internalShare is the share of each of the other listeners.
	callerShare, internalShare = 0.4, 0.05
	// minConns is the number of connections that each listener may have at the least.
	minConns = 8
	// budgetShare is the share of the memory for what arrives from peers and is held for their requests. The Go
	// runtime frees garbage before the process uses three quarters, and a body leaves as much garbage as it has bytes.
	budgetShare = 0.25
	// connBytes is the memory of a connection with a request: its buffers and the stacks of its goroutines.
	// connShare is the share of the memory for them.
	connBytes, connShare = 40 << 10, 0.25
)

// RequestMemory returns how many bytes may be held for requests and messages of peers; 0 if there is no bound.
func (s Instance) RequestMemory() int64 { return int64(budgetShare * float64(s.MemoryBytes)) }

// CallerConns returns how many connections callers may have open; 0 if there is no bound.
func (s Instance) CallerConns() int { return s.conns(callerShare) }

// InternalConns returns how many connections each other listener may have open; 0 if there is no bound.
func (s Instance) InternalConns() int { return s.conns(internalShare) }

func (s Instance) conns(share float64) int {
	if s.MaxDescriptors <= 0 {
		return 0
	}
	n := int(share * float64(s.MaxDescriptors-ReservedDescriptors-ownDescriptors))
	if s.MemoryBytes > 0 {
		n = min(n, int(connShare*float64(s.MemoryBytes)/connBytes))
	}
	return max(n, minConns)
}
