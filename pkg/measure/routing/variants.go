package routing

import (
	"slices"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Caches reports what the replicas' caches hold at the present time, which no entry can know.
type Caches interface {
	Holds(replica string, prefix uint64) bool
}

// Variants returns the standard selector with one part removed or changed at a time, and a selector
// that knows the content of every cache: an upper bound on the benefit of cache events.
func Variants() []Policy {
	variant := func(name string, change func(*decision.Pipeline)) Policy {
		return Policy{name, func(Caches) decision.Selector {
			p := decision.Standard()
			change(p)
			return p
		}}
	}
	return []Policy{
		variant("standard", func(*decision.Pipeline) {}),
		variant("without affinity", func(p *decision.Pipeline) { removeScorers[decision.Affinity](p) }),
		variant("without load", func(p *decision.Pipeline) { removeScorers[decision.LoadCost](p) }),
		variant("without step time", func(p *decision.Pipeline) { removeScorers[decision.StepTime](p); p.Filters = nil }),
		variant("one choice", func(p *decision.Pipeline) { p.Picker = decision.Sampled{Choices: 1} }),
		variant("eight choices", func(p *decision.Pipeline) { p.Picker = decision.Sampled{Choices: 8} }),
		{"knows every cache", func(c Caches) decision.Selector {
			p := decision.Standard()
			removeScorers[decision.Affinity](p)
			p.Scorers = append(p.Scorers, cacheOracle{c})
			p.Picker = decision.Sampled{Choices: oracleChoices}
			return p
		}},
	}
}

// removeScorers removes the scorers of a type from a pipeline.
func removeScorers[S decision.Scorer](p *decision.Pipeline) {
	p.Scorers = slices.DeleteFunc(p.Scorers, func(s decision.Scorer) bool {
		_, is := s.(S)
		return is
	})
}

const (
	oracleChoices = 16
	// missSteps is the cost of a cache miss in steps, as in the standard selector.
	missSteps = 24
)

// cacheOracle scores replicas by what their caches actually hold. Among replicas that do not hold
// the prefix, those that affinity assigns it to have the lowest cost.
type cacheOracle struct{ caches Caches }

// Cost implements decision.Scorer.
func (s cacheOracle) Cost(v *decision.View, r *decision.Replica) float64 {
	if s.caches.Holds(r.Name, v.Request.PrefixHash) {
		return 0
	}
	return max(decision.Affinity{MissSteps: missSteps}.Cost(v, r), missSteps*v.MedianStepMS/2)
}
