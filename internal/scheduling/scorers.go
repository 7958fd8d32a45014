package scheduling

// waitScorer costs the expected time in queue. Range: 0 and up.
type waitScorer struct{}

func (waitScorer) Name() string { return "wait" }

func (waitScorer) Score(_ *Request, c *Candidate, _ *Snapshot) float64 {
	return c.Endpoint.Wait.Seconds()
}

// recomputeScorer costs the prefill of tokens that the endpoint is not
// expected to hold, times a penalty that rises with the pool's load. Near
// capacity each needless copy of a prefix takes the capacity whose lack caused
// it; a constant penalty lets that feed on itself. Range: 0 and up.
type recomputeScorer struct{ config Config }

func (recomputeScorer) Name() string { return "recompute" }

func (s recomputeScorer) Score(r *Request, c *Candidate, snapshot *Snapshot) float64 {
	missing := float64(r.PromptTokens - c.ExpectedCachedTokens)
	pressure := min(float64(snapshot.MedianWait)/float64(s.config.SaturatedWait), 1)
	penalty := s.config.BasePenalty + s.config.LoadPenalty*pressure
	return missing / s.config.PrefillTokensPerSecond * penalty
}

// suspectScorer steers away from endpoints that failed attempts lately.
// Range: 0 or suspectCost.
type suspectScorer struct{}

const suspectCost = 30.0

func (suspectScorer) Name() string { return "suspect" }

func (suspectScorer) Score(_ *Request, c *Candidate, _ *Snapshot) float64 {
	if c.Endpoint.State == Suspect {
		return suspectCost
	}
	return 0
}
