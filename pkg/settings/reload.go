package settings

import "slices"

// Reload returns the settings with the bounds of later, and the names of the other fields
// in which later differs: these are fixed for the lifetime of the process. The window of
// the retry budget is fixed too, because the budget counts requests in intervals that are
// fractions of the window.
func (s Instance) Reload(later Instance) (next Instance, fixed []string) {
	next = s
	next.Bounds = later.Bounds
	next.Bounds.RetryWindow = s.Bounds.RetryWindow
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"name", s.Name != later.Name},
		{"failure domain", s.FailureDomain != later.FailureDomain},
		{"failure domains", !slices.Equal(s.FailureDomains, later.FailureDomains)},
		{"IP address", s.IP != later.IP},
		{"address for callers", s.CallerAddress != later.CallerAddress},
		{"address for readiness checks", s.ReadyAddress != later.ReadyAddress},
		{"address for address queries", s.DirectoryAddress != later.DirectoryAddress},
		{"port for other processes", s.PeerPort != later.PeerPort},
		{"port for metrics", s.MetricsPort != later.MetricsPort},
		{"address of the backend server", s.BackendAddress != later.BackendAddress},
		{"service", s.Service != later.Service},
		{"address of the log", s.SharedLogAddress != later.SharedLogAddress},
		{"descriptors", s.MaxDescriptors != later.MaxDescriptors},
		{"memory", s.MemoryBytes != later.MemoryBytes},
		{"window of the retry budget", s.Bounds.RetryWindow != later.Bounds.RetryWindow},
	} {
		if f.changed {
			fixed = append(fixed, f.name)
		}
	}
	return next, fixed
}
