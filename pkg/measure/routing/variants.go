package routing

import (
	"slices"

	decision "github.com/fescuehub/fescuehub/pkg/routing"
)

// Caches tells what the caches hold at the present time, which no entry can
// know.
type Caches interface {
	Holds(replica string, prefix uint64) bool
}

// Variants returns the standard selector with one part taken out at a time,
// and one that knows every cache: the bound of what cache events could bring.
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
		variant("without affinity", func(p *decision.Pipeline) { without[decision.Affinity](p) }),
		variant("without load", func(p *decision.Pipeline) { without[decision.LoadCost](p) }),
		variant("without step time", func(p *decision.Pipeline) { without[decision.StepTime](p); p.Filters = nil }),
		variant("one choice", func(p *decision.Pipeline) { p.Picker = decision.Sampled{Choices: 1} }),
		variant("eight choices", func(p *decision.Pipeline) { p.Picker = decision.Sampled{Choices: 8} }),
		{"knows every cache", func(c Caches) decision.Selector {
			p := decision.Standard()
			without[decision.Affinity](p)
			p.Scorers = append(p.Scorers, knownCache{c})
			p.Picker = decision.Sampled{Choices: knownCacheChoices}
			return p
		}},
	}
}

// without takes the scorers of a type out of a pipeline.
func without[S decision.Scorer](p *decision.Pipeline) {
	p.Scorers = slices.DeleteFunc(p.Scorers, func(s decision.Scorer) bool {
		_, is := s.(S)
		return is
	})
}

const (
	knownCacheChoices = 16
	missSteps         = 24
)

// knownCache scores by what the caches really hold; the owner of a prefix
// takes it where no cache has it.
type knownCache struct{ caches Caches }

// Cost implements decision.Scorer.
func (s knownCache) Cost(v *decision.View, r *decision.Replica) float64 {
	if s.caches.Holds(r.Name, v.Request.PrefixHash) {
		return 0
	}
	return max(decision.Affinity{MissSteps: missSteps}.Cost(v, r), missSteps*v.MedianStepMS/2)
}
