package coordapi

// Label returns the request's kind for the metrics of sent messages.
func (r Request) Label() string {
	switch {
	case r.Place != nil:
		return "place"
	case r.Await != nil:
		return "await"
	case r.Watch != nil:
		return "watch"
	case r.Update != nil:
		return "tell"
	case r.Claim != nil:
		return "claim"
	case r.Repeat != nil:
		return "repeat"
	case r.Heartbeat != nil:
		return "beat"
	case r.HeartbeatDigest != nil:
		return "digest"
	case r.Find != nil:
		return "find"
	case r.Relays != nil:
		return "relays"
	case r.RecordStreams != nil:
		return "record streams"
	case r.FindStream != nil:
		return "find stream"
	}
	return "other call"
}

// Label returns the reply's kind for the metrics of sent messages. A View is named after the
// first part, in order of size, that it contains.
func (r Reply) Label() string {
	v := r.View
	switch {
	case r.Placed != nil:
		return "placed"
	case r.Awaited != nil:
		return "awaited"
	case r.Claimed != nil:
		return "claimed"
	case r.Relays != nil:
		return "relays"
	case v == nil:
		return "other reply"
	case len(v.Packed) > 0:
		return "view of all"
	case len(v.Document) > 0 || len(v.PackedDocument) > 0:
		return "view with configuration"
	case len(v.Backends) > 0 || len(v.PackedBackends) > 0:
		return "view with rows"
	case len(v.Loads) > 0 || len(v.PackedLoads) > 0:
		return "view with loads"
	}
	return "view without news"
}
