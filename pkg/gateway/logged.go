package gateway

import "sync"

// maxLoggedValues bounds the values that are logged once each.
const maxLoggedValues = 64

// loggedValues holds the values that have been logged, so that each is logged only once. It is safe
// for concurrent use.
type loggedValues struct {
	mu     sync.Mutex
	values map[string]bool
}

// add reports whether a value is to be logged.
func (l *loggedValues) add(value string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values[value] || len(l.values) >= maxLoggedValues {
		return false
	}
	if l.values == nil {
		l.values = make(map[string]bool)
	}
	l.values[value] = true
	return true
}
