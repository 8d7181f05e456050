package limit

// hasBudget reports whether a server has an engine budget, so that its permits are granted by
// rank and shares.
func (s *limitedServer) hasBudget() bool { return s.budgeted }
