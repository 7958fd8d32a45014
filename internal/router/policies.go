package router

import (
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// defaultPrefillRate is assumed for engines of a model that the bundle does
// not name, in tokens a second.
const defaultPrefillRate = 5000

// policies holds the placement policy of each model, made anew when a bundle
// changes the model's settings. The dispatcher's lock guards it.
type policies struct {
	board     *board.Board
	directory *scheduling.Directory
	configs   map[string]scheduling.Config
	policies  map[string]scheduling.Policy
}

func newPolicies(b *board.Board, directory *scheduling.Directory) *policies {
	return &policies{board: b, directory: directory, configs: map[string]scheduling.Config{}, policies: map[string]scheduling.Policy{}}
}

func (p *policies) policy(model string) scheduling.Policy {
	wanted := p.config(model)
	if policy, ok := p.policies[model]; ok && p.configs[model] == wanted {
		return policy
	}
	p.configs[model] = wanted
	policy := scheduling.NewAffinity(wanted)
	if user, ok := policy.(scheduling.DirectoryUser); ok {
		user.UseDirectory(p.directory)
	}
	p.policies[model] = policy
	return policy
}

func (p *policies) config(model string) scheduling.Config {
	out := scheduling.DefaultConfig()
	out.Routers = p.routers()
	config := p.board.Config.Load()
	if config == nil {
		return out
	}
	settings, known := config.Bundle.Models[model]
	if !known {
		return out
	}
	if settings.HomeBlocks > 0 {
		out.HomeBlocks = settings.HomeBlocks
	}
	if settings.TargetUtilization > 0 {
		out.TargetUtilization = settings.TargetUtilization
	}
	if settings.LoadPenalty > 0 {
		out.LoadPenalty = settings.LoadPenalty
	}
	out.PrefillTokensPerSecond = settings.PrefillTokensPerSecond
	return out
}

// prefillRate is the prompt tokens a second of an engine with the model.
func (p *policies) prefillRate(model string) float64 {
	if config := p.board.Config.Load(); config != nil {
		if settings, known := config.Bundle.Models[model]; known {
			return settings.PrefillTokensPerSecond
		}
	}
	return defaultPrefillRate
}

// routers is how many routers share the traffic.
func (p *policies) routers() int {
	if authority := p.board.LeaseState.Load(); authority != nil {
		return max(authority.Routers, 1)
	}
	return 1
}
