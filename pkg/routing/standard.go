package routing

import "time"

// Standard returns the selector that entries use.
func Standard() *Pipeline {
	return &Pipeline{
		Filters: []Filter{
			Outlier{Failures: 3, Base: time.Second, Longest: time.Minute, StepRatio: 3},
			SlowStart{Window: 10 * time.Second},
		},
		Scorers: []Scorer{
			LoadCost{StepsPerRequest: 1, StepsPerWaiting: 4},
			StepTime{Steps: 4},
			Affinity{MissSteps: 24},
			Distance{OtherDomain: time.Millisecond},
		},
		Picker: Sampled{Choices: 2},
	}
}
