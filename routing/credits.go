package routing

// GrantSlots divides the slots of a target between gateways by demand. Every
// gateway with demand gets its share rounded down, and the remaining slots go
// to the largest remainders. Without any demand the slots are divided equally.
// start is the index at which the search for the largest remainder begins. It
// differs between targets, so that ties do not always favour the same gateway.
func GrantSlots(slots int, demand []int, start int) []int {
	grants := make([]int, len(demand))
	if len(demand) == 0 {
		return grants
	}
	total := 0
	for _, d := range demand {
		total += d
	}
	weights := demand
	if total == 0 {
		weights, total = ones(len(demand)), len(demand)
	}
	unassigned := slots
	for i, weight := range weights {
		grants[i] = slots * weight / total
		unassigned -= grants[i]
	}
	for ; unassigned > 0; unassigned-- {
		grants[largestRemainder(slots, weights, total, grants, start)]++
	}
	return grants
}

func ones(n int) []int {
	values := make([]int, n)
	for i := range values {
		values[i] = 1
	}
	return values
}

func largestRemainder(slots int, weights []int, total int, grants []int, start int) int {
	best, bestRemainder := start%len(weights), 0
	for offset := range weights {
		i := (start + offset) % len(weights)
		if remainder := slots*weights[i] - grants[i]*total; remainder > bestRemainder {
			best, bestRemainder = i, remainder
		}
	}
	return best
}
