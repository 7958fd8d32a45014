package raft

import "slices"

// log is the part of the replicated log that was not compacted.
//
// Invariants: entries[i].Index == offset+1+i; offset <= commit <= last; applied <= commit;
// stable <= last. Entries up to stable are durable.
type log struct {
	offset     uint64 // index of the last compacted entry
	offsetTerm uint64
	entries    []Entry
	stable     uint64
	commit     uint64
	applied    uint64
}

func (l *log) last() uint64 { return l.offset + uint64(len(l.entries)) }

// term returns the term of the entry at index, and false if the log does not have it.
func (l *log) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

func (l *log) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// slice returns at most limit entries with at most limitBytes of data, starting with index from. The
// first entry is returned whatever its size.
func (l *log) slice(from uint64, limit, limitBytes int) []Entry {
	if from <= l.offset || from > l.last() {
		return nil
	}
	entries := l.entries[from-l.offset-1:]
	count, bytes := 1, len(entries[0].Data)
	for count < min(limit, len(entries)) && bytes+len(entries[count].Data) <= limitBytes {
		bytes += len(entries[count].Data)
		count++
	}
	return slices.Clone(entries[:count])
}

// before returns the index before the last entries up to index, which are at most limit with at most
// limitBytes of data.
func (l *log) before(index uint64, limit, limitBytes int) uint64 {
	for ; index > l.offset && limit > 0; index-- {
		limitBytes -= len(l.entries[index-l.offset-1].Data)
		if limitBytes < 0 {
			break
		}
		limit--
	}
	return index
}

// upTo returns the entries with from < index <= to.
func (l *log) upTo(from, to uint64) []Entry {
	if to <= from {
		return nil
	}
	return slices.Clone(l.entries[from-l.offset : to-l.offset])
}

func (l *log) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// merge adds entries that follow a matching entry. It truncates the log only where terms differ,
// so that a late message cannot shorten it.
func (l *log) merge(entries []Entry) {
	for i, e := range entries {
		term, held := l.term(e.Index)
		if held && term == e.Term {
			continue
		}
		l.truncate(e.Index)
		l.append(entries[i:]...)
		return
	}
}

// truncate drops the entry at index and all later ones.
func (l *log) truncate(index uint64) {
	if index <= l.offset || index > l.last() {
		return
	}
	l.entries = slices.Clone(l.entries[:index-l.offset-1])
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index, which must be applied.
func (l *log) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.offset:])
	l.offset, l.offsetTerm = index, term
}

// restore replaces the log with a snapshot that ends at the given index and term.
func (l *log) restore(index, term uint64) {
	l.entries = nil
	l.offset, l.offsetTerm = index, term
	l.stable, l.commit, l.applied = index, index, index
}

// upToDate reports whether a log whose last entry has the given index and term is at least as up
// to date as this one.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
