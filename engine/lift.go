package engine

// Lift adapts the systems of a part to an owner whose state contains it, so
// that the owner can list them among its own.
func Lift[S, P any](part func(*S) *P, systems []System[P]) []System[S] {
	lifted := make([]System[S], len(systems))
	for i, system := range systems {
		lifted[i] = System[S]{Name: system.Name, Run: func(s *S, tick Tick) { system.Run(part(s), tick) }}
	}
	return lifted
}
