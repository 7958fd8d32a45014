package ratelimit

import (
	"time"

	"quinceridge.example/quinceridge/internal/coordapi"
)

// word is what one answer said: its back end made it at some time between when the request
// was written and when the answer's head was read.
type word struct {
	sent, heard time.Duration
	// limited says that there is a limit, and rate which.
	limited bool
	rate    PerSecond
}

// same tells whether two words say the same.
func (w word) same(other word) bool { return w.limited == other.limited && w.rate == other.rate }

// tightens tells whether a word allows no more than another.
func (w word) tightens(other word) bool { return w.limited && (!other.limited || w.rate <= other.rate) }

// granted is the rate at which rights are granted while the word holds.
func (w word) granted() PerSecond { return max(w.rate, leastRate) }

// after returns what holds once a word has come, beside the one that holds. Answers overtake
// each other: only one whose request was written after the other was read, by more than
// slack, is surely the newer. Of two that crossed the tighter holds until a newer comes: to
// send too little for one answer's time costs less than to send too much.
func (w word) after(held word, slack time.Duration) word {
	switch {
	case w.sent >= held.heard+slack:
		return w
	case w.heard+slack <= held.sent:
		return held
	case w.tightens(held):
		w.heard = max(w.heard, held.heard)
		return w
	}
	return held
}

// wordOf returns what a process told, by the clock of who hears it. That one may be of another
// build, or wrong: no rate is beyond what an answer can name, and no word from the future.
func wordOf(now time.Duration, w *coordapi.LimitReport) word {
	rate := min(max(PerSecond(w.Rate), 0), highest)
	return word{sent: now - max(w.SentAgo, 0), heard: now - max(w.ReceivedAgo, 0), limited: w.Limited, rate: rate}
}

// tell is a word for others.
func (w word) tell(now time.Duration, id coordapi.BackendID, pool string) coordapi.LimitReport {
	return coordapi.LimitReport{ID: id, Pool: pool, Limited: w.limited, Rate: float64(w.rate), SentAgo: now - w.sent, ReceivedAgo: now - w.heard}
}
