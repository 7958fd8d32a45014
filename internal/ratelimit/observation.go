package ratelimit

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// observation is the limit that one response named. The back end set it at some time between
// sending the request and receiving the head of the response.
type observation struct {
	sent, received time.Duration
	// limited is set if there is a limit; rate is its value.
	limited bool
	rate    PerSecond
	// brittle is the rate of rejections above which the back end fails, 0 if it named none.
	brittle PerSecond
}

// equal reports whether both observations have the same limit.
func (o observation) equal(other observation) bool {
	return o.limited == other.limited && o.rate == other.rate && o.brittle == other.brittle
}

// tightens reports whether o allows no more than other.
func (o observation) tightens(other observation) bool {
	if o.limited != other.limited || o.rate != other.rate {
		return o.limited && (!other.limited || o.rate <= other.rate)
	}
	if o.brittle != other.brittle {
		return o.brittle > 0 && (other.brittle == 0 || o.brittle < other.brittle)
	}
	return o.limited || o.brittle > 0
}

// granted is the rate at which permits are granted under the observation.
func (o observation) granted() PerSecond { return max(o.rate, minRate) }

// merge returns the observation that holds once o has been made beside current. Responses
// overtake each other: o is surely newer only if its request was sent after current was
// received, by more than slack. If the order is unknown the tighter limit holds, since sending
// too little for a moment costs less than sending too much.
func (o observation) merge(current observation, slack time.Duration) observation {
	switch {
	case o.sent >= current.received+slack:
		return o
	case o.received+slack <= current.sent:
		return current
	case o.tightens(current):
		o.received = max(o.received, current.received)
		return o
	}
	return current
}

// observationOf converts a report, by the local clock. The sender may be another build or
// faulty, so rates are clamped and times lie in the past.
func observationOf(now time.Duration, r *coordapi.LimitReport) observation {
	rate := min(max(PerSecond(r.Rate), 0), maxRate)
	return observation{sent: now - max(r.SentAgo, 0), received: now - max(r.ReceivedAgo, 0), limited: r.Limited, rate: rate,
		brittle: min(max(PerSecond(r.Brittle), 0), maxRate)}
}

// report returns the observation as a report to the leader.
func (o observation) report(now time.Duration, id coordapi.BackendID, pool string, plain bool) coordapi.LimitReport {
	return coordapi.LimitReport{ID: id, Pool: pool, Limited: o.limited, Rate: float64(o.rate), Brittle: float64(o.brittle), Plain: plain, SentAgo: now - o.sent, ReceivedAgo: now - o.received}
}
