package routing

// Chooser selects the target of an attempt. Nil selects the default.
type Chooser interface{ chooser() }
