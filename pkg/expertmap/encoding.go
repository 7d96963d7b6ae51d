package expertmap

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/fescuehub/fescuehub/pkg/problem"
)

// shareUnits is the number of units that the shares of one expert add up to
// where a map travels.
const shareUnits = 10_000

// MarshalJSON writes each expert as a list of whole numbers: rank and share of
// each replica in units of 1/10,000, without the share of the last one, which
// is what remains. Shares are rounded down to units.
func (l Layer) MarshalJSON() ([]byte, error) {
	experts := make([][]int, len(l))
	for e, replicas := range l {
		experts[e] = packed(replicas)
	}
	data, err := json.Marshal(experts)
	return data, errors.Wrap(err, "encode a layer")
}

// UnmarshalJSON reads what MarshalJSON writes. The error has the kind
// BadRequest.
func (l *Layer) UnmarshalJSON(data []byte) error {
	var experts [][]int
	if err := json.Unmarshal(data, &experts); err != nil {
		return badLayer(err.Error())
	}
	layer := make(Layer, len(experts))
	for e, numbers := range experts {
		if len(numbers)%2 == 0 && len(numbers) > 0 {
			return badLayer("an expert has a rank without a share")
		}
		layer[e] = unpacked(numbers)
	}
	*l = layer
	return nil
}

func packed(replicas []Replica) []int {
	numbers := make([]int, 0, 2*len(replicas))
	for i, r := range replicas {
		numbers = append(numbers, r.Rank)
		if i < len(replicas)-1 {
			numbers = append(numbers, int(r.Share*shareUnits))
		}
	}
	return numbers
}

func unpacked(numbers []int) []Replica {
	left := shareUnits
	replicas := make([]Replica, 0, (len(numbers)+1)/2)
	for i := 0; i < len(numbers); i += 2 {
		share := left
		if i+1 < len(numbers) {
			share = numbers[i+1]
		}
		left -= share
		replicas = append(replicas, Replica{Rank: numbers[i], Share: float64(share) / shareUnits})
	}
	return replicas
}

func badLayer(detail string) error {
	return problem.New(problem.BadRequest, "run the same release on every instance", "malformed layer of an expert map: %s", detail)
}
