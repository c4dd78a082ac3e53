package engine

// Lift adapts systems over the state P of a component to run over a state S that
// contains it, so that a program over S can list them among its own systems.
func Lift[S, P any](component func(*S) *P, systems []System[P]) []System[S] {
	lifted := make([]System[S], len(systems))
	for i, system := range systems {
		lifted[i] = System[S]{Name: system.Name, Run: func(s *S, tick Tick) { system.Run(component(s), tick) }}
	}
	return lifted
}
