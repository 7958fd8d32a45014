package scheduling

// waitScorer scores the expected time in queue.
type waitScorer struct{}

func (waitScorer) Name() string { return "wait" }

func (waitScorer) Score(_ *Request, c *Candidate, _ *Snapshot) float64 {
	return c.Endpoint.Wait.Seconds()
}

// recomputeScorer scores the prefill time of the tokens that the endpoint is not expected to
// cache, multiplied by a penalty that rises with the pool's load. With a constant penalty, requests
// that spill in a loaded pool would add prefill work and so cause more requests to spill.
type recomputeScorer struct{ config Config }

func (recomputeScorer) Name() string { return "recompute" }

func (s recomputeScorer) Score(r *Request, c *Candidate, snapshot *Snapshot) float64 {
	missing := float64(r.PromptTokens - c.ExpectedCachedTokens)
	pressure := min(float64(snapshot.MedianWait)/float64(s.config.SaturatedWait), 1)
	penalty := s.config.BasePenalty + s.config.LoadPenalty*pressure
	return missing / s.config.PrefillTokensPerSecond * penalty
}

// suspectScorer adds suspectCost to suspect endpoints.
type suspectScorer struct{}

const suspectCost = 30.0 // seconds

func (suspectScorer) Name() string { return "suspect" }

func (suspectScorer) Score(_ *Request, c *Candidate, _ *Snapshot) float64 {
	if c.Endpoint.State == Suspect {
		return suspectCost
	}
	return 0
}
