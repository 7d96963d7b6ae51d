package routing

import "time"

// Standard returns the selector that entries use by default.
func Standard() *Pipeline {
	return &Pipeline{
		Filters: []Filter{
			Outlier{Failures: 3, BaseEjection: time.Second, MaxEjection: time.Minute, StepRatio: 3},
			SlowStart{Window: 10 * time.Second},
		},
		Scorers: []Scorer{
			LoadCost{StepsPerRequest: 1, StepsPerWaiting: 4},
			StepTime{Steps: 4},
			Affinity{MissSteps: 24},
			Distance{CrossDomainPenalty: time.Millisecond},
		},
		Picker: Sampled{Choices: 2},
	}
}
