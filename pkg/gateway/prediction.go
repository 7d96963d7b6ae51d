package gateway

import "go.uber.org/zap"

// recordPredictions updates the metrics of the engines' predicted loads, and logs for which services requests
// begin or cease to be spread by them.
func (g *Gateway) recordPredictions() {
	for service, use := range g.balancer.TakePredictionUse() {
		scope := g.scope.Tagged(map[string]string{"service": service})
		scope.Counter("requests_spread_by_prediction").Inc(int64(use.Chosen))
		if use.Reported > 0 {
			scope.Gauge("predicted_load_error").Update(use.Missed / float64(use.Reported))
		}
		g.mu.Lock()
		changed := use.Active != g.spreadsByPrediction[service]
		g.spreadsByPrediction[service] = use.Active
		g.mu.Unlock()
		if changed {
			g.log.Info("use of predicted engine loads changed", zap.String("service", service), zap.Bool("used", use.Active))
		}
	}
}
