package poison

import (
	"maps"
	"slices"
	"time"
)

// backendReturn is the return of a back end that is presumed to have ended.
type backendReturn struct {
	// since is when the first heartbeat arrived. confirmed is set once they have continued for
	// heartbeatMargin: those of before the end may arrive late, several at once.
	since     time.Duration
	confirmed bool
}

// updateReturns records which back ends send heartbeats although a block presumes that they ended.
func (l *Detector) updateReturns(signs func(string) Liveness, blocks []Block) {
	maps.DeleteFunc(l.returns, func(id Digest, _ map[string]*backendReturn) bool {
		return !slices.ContainsFunc(blocks, func(b Block) bool { return b.ID == id && len(b.Presumed) > 0 })
	})
	for i := range blocks {
		for _, backend := range blocks[i].Presumed {
			l.updateReturn(blocks[i].ID, backend, signs(backend))
		}
	}
}

func (l *Detector) updateReturn(block Digest, backend string, s Liveness) {
	returned := l.returns[block][backend]
	present := !s.Gone && s.LastHeartbeat != NoHeartbeat
	switch {
	case returned == nil && present:
		if l.returns[block] == nil {
			l.returns[block] = map[string]*backendReturn{}
		}
		l.returns[block][backend] = &backendReturn{since: s.LastHeartbeat}
	case returned == nil || returned.confirmed:
	case !present:
		delete(l.returns[block], backend)
	default:
		returned.confirmed = s.LastHeartbeat > returned.since+heartbeatMargin
	}
}

// recovered returns the blocks for which too few ends are left without the back ends that have returned.
func (c *evaluation) recovered() (out []Digest) {
	for i := range c.blocks {
		b := &c.blocks[i]
		left, returned := 0, false
		for backend, ended := range b.ends {
			r := c.detector.returns[b.ID][backend]
			back := r != nil && r.confirmed
			if ended && !back {
				left++
			}
			returned = returned || back
		}
		if returned && left < c.required(&candidate{id: b.ID, parts: b.Parts}) {
			out = append(out, b.ID)
		}
	}
	return out
}
