package router

import (
	"quinceridge.example/quinceridge/internal/board"
	"quinceridge.example/quinceridge/internal/scheduling"
)

// defaultPrefillRate is the prefill rate of engines whose model is not in the bundle, in tokens per
// second.
const defaultPrefillRate = 5000

// policies holds the placement policy of each model. A policy is replaced by a new one when its
// parameters change. Its method policy must not be called concurrently; the dispatcher's lock
// ensures that.
type policies struct {
	board     *board.Board
	directory *scheduling.Directory
	configs   map[string]scheduling.Config
	policies  map[string]scheduling.Policy
}

func newPolicies(b *board.Board, directory *scheduling.Directory) *policies {
	return &policies{board: b, directory: directory, configs: map[string]scheduling.Config{}, policies: map[string]scheduling.Policy{}}
}

// policy returns the policy of a model, for the parameters in force.
func (p *policies) policy(model string) scheduling.Policy {
	current := p.config(model)
	if policy, ok := p.policies[model]; ok && p.configs[model] == current {
		return policy
	}
	p.configs[model] = current
	policy := scheduling.NewAffinity(current)
	if user, ok := policy.(scheduling.DirectoryUser); ok {
		user.UseDirectory(p.directory)
	}
	p.policies[model] = policy
	return policy
}

// config returns the parameters of a model's policy: the defaults, overridden by the bundle.
func (p *policies) config(model string) scheduling.Config {
	out := scheduling.DefaultConfig()
	out.Routers = p.routerCount()
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

// prefillRate returns the prefill rate of an engine with the model, in tokens per second.
func (p *policies) prefillRate(model string) float64 {
	if config := p.board.Config.Load(); config != nil {
		if settings, known := config.Bundle.Models[model]; known {
			return settings.PrefillTokensPerSecond
		}
	}
	return defaultPrefillRate
}

// routerCount returns the number of routers that share the traffic, at least 1.
func (p *policies) routerCount() int {
	if leaseState := p.board.LeaseState.Load(); leaseState != nil {
		return max(leaseState.Routers, 1)
	}
	return 1
}
