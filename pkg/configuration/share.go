package configuration

// ShareOf returns the organisation's share of a route as a fraction of the
// shares of all organisations of the route, from 0 to 1. It is the largest
// fraction over all routes that list the organisation, 0 if none does.
func (v *View) ShareOf(organisation string) float64 {
	largest := 0.0
	for _, r := range v.routes {
		total, own := 0, 0
		for _, o := range r.route.Organisations {
			share := max(1, o.Share)
			total += share
			if o.Name == organisation {
				own = share
			}
		}
		if own > 0 {
			largest = max(largest, float64(own)/float64(total))
		}
	}
	return largest
}
