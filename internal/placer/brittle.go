package placer

import "quinceridge.example/quinceridge/internal/coordapi"

// Slots returns the number of requests that a back end runs at once, 0 if it is not known.
func (p *Placer) Slots(id coordapi.BackendID) int { return p.current().Slots(string(id)) }

// SetBrittle sets the engines that fail if they reject many requests. They get no more requests than
// they have slots.
func (p *Placer) SetBrittle(ids []string) { p.current().SetBrittle(ids) }
