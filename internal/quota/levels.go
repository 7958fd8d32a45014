package quota

import (
	"time"
)

const (
	// headroomTime is the time at a limit's rate that a bucket may fall below its level before the
	// next record of levels is due. Records take some 20 ms to commit and are checked for every
	// levelsInterval, so that a tenant that asks for four times its rate hardly
	// reaches the recorded level. More would be missing to a successor.
	headroomTime = 300 * time.Millisecond
	// levelsInterval is the time between two checks whether levels are to be recorded.
	levelsInterval = 50 * time.Millisecond
	// dueShare is the share of the headroom that is left when the next record is due.
	dueShare = 0.6
	// maxRecordedLevels is the number of tenants up to which levels are recorded. It bounds a record to
	// some 30 KB; with more tenants a new leader starts without levels.
	maxRecordedLevels = 1024
)

// Levels are the levels by tenant that the buckets of a limiter keep until they are replaced. The
// leader records them in the replicated log, so that its successor may start with them: it would
// otherwise know nothing of the last window, and refuse the callers that return together after a
// loss of all machines. A tenant that is not listed keeps nothing.
type Levels map[string]Amount

// Restore sets the recorded levels with which the buckets of a new limiter start. It is called
// before SetLimits.
func (l *Limiter) Restore(levels Levels) { l.restored = levels }

// DueLevels returns the levels to record now, or nil if the recorded ones still serve or a record is
// pending. From now on the buckets keep to these levels too, since the record may be committed at any
// time. The caller reports its end with LevelsRecorded or LevelsRejected.
func (l *Limiter) DueLevels(now time.Duration) Levels {
	if l.recording || len(l.accounts) > maxRecordedLevels || now < l.levelsCheckedAt+levelsInterval {
		return nil
	}
	l.levelsCheckedAt = now
	out, due := Levels{}, false
	for name, a := range l.accounts {
		level := l.levelToRecord(now, a)
		due = due || l.isDue(a, level)
		if level > 0 {
			out[name] = level
		}
	}
	if !due {
		return nil
	}
	l.recording = true
	for name, level := range out {
		a := l.accounts[name]
		a.kept = max(a.kept, level)
	}
	return out
}

// LevelsRecorded applies a committed record.
func (l *Limiter) LevelsRecorded(levels Levels) {
	l.recording = false
	for name, a := range l.accounts {
		a.kept, a.wanted = levels[name], 0
	}
}

// LevelsRejected reports that a record will not be committed by this leader. The buckets keep to its
// levels until the next record.
func (l *Limiter) LevelsRejected() { l.recording = false }

// levelToRecord returns the level that a bucket can keep to for some time: what routers admit by
// themselves, up to a second's worth, is known only later.
func (l *Limiter) levelToRecord(now time.Duration, a *account) Amount {
	if !a.limit.Limited() {
		return 0
	}
	a.refill(now, l.capacity(a.limit))
	level := a.level - a.waiting - a.wanted - a.headroom() - Amount(a.charged.Value(now, averagingTime))
	if level <= l.tolerancePart(a.limit) {
		// A bucket whose past is not known starts with as much.
		return 0
	}
	return level
}

// isDue reports whether a bucket has reached the level that it keeps, is about to, or could keep a
// much higher one.
func (l *Limiter) isDue(a *account, level Amount) bool {
	return a.wanted > 0 || (a.kept > 0 && a.level-a.waiting-a.kept < dueShare*a.headroom()) ||
		level > a.kept+a.headroom()/2
}

// headroom returns what a bucket may fall by between two records.
func (a *account) headroom() Amount { return a.limit.Rate * Amount(headroomTime.Seconds()) }
