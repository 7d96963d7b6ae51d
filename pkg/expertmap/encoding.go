package expertmap

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// shareUnits is the sum of the encoded shares of one expert.
const shareUnits = 10_000

// MarshalJSON encodes each expert as a list of integers: the rank and the share of each replica in
// units of 1/10,000, rounded down. The share of the last replica is left out, since it is the
// remainder.
func (l Layer) MarshalJSON() ([]byte, error) {
	experts := make([][]int, len(l))
	for e, replicas := range l {
		experts[e] = packReplicas(replicas)
	}
	data, err := json.Marshal(experts)
	return data, errors.Wrap(err, "encode a layer")
}

// UnmarshalJSON decodes the format of MarshalJSON. It returns errors of kind BadRequest.
func (l *Layer) UnmarshalJSON(data []byte) error {
	var experts [][]int
	if err := json.Unmarshal(data, &experts); err != nil {
		return malformedLayer(err.Error())
	}
	layer := make(Layer, len(experts))
	for e, numbers := range experts {
		if len(numbers)%2 == 0 && len(numbers) > 0 {
			return malformedLayer("an expert has a rank without a share")
		}
		layer[e] = unpackReplicas(numbers)
	}
	*l = layer
	return nil
}

func packReplicas(replicas []Replica) []int {
	numbers := make([]int, 0, 2*len(replicas))
	for i, r := range replicas {
		numbers = append(numbers, r.Rank)
		if i < len(replicas)-1 {
			numbers = append(numbers, int(r.Share*shareUnits))
		}
	}
	return numbers
}

func unpackReplicas(numbers []int) []Replica {
	remaining := shareUnits
	replicas := make([]Replica, 0, (len(numbers)+1)/2)
	for i := 0; i < len(numbers); i += 2 {
		share := remaining
		if i+1 < len(numbers) {
			share = numbers[i+1]
		}
		remaining -= share
		replicas = append(replicas, Replica{Rank: numbers[i], Share: float64(share) / shareUnits})
	}
	return replicas
}

func malformedLayer(detail string) error {
	return problem.New(problem.BadRequest, "run the same release on every instance", "malformed layer of an expert map: %s", detail)
}
