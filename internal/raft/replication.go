package raft

import (
	"slices"
	"time"
)

func toDuration(nanoseconds int64) time.Duration { return time.Duration(nanoseconds) }

// Step handles a message from another member. Messages may be lost, duplicated, delayed or
// reordered.
func (n *Node) Step(now time.Duration, m Message) {
	n.advanceClock(now)
	if m.To != n.config.ID || m.From == n.config.ID {
		return
	}
	if m.Type == MessagePreVote {
		n.handlePreVote(m)
		return
	}
	if m.Type == MessagePreVoteReply && !m.Reject {
		// A granted pre-vote has the term of the request, which is one above the node's own.
		if n.role == PreCandidate && m.Term == n.hard.Term+1 {
			n.recordVote(m.From, true)
		}
		return
	}
	if m.Type == MessageVote && !m.Transfer && n.hasRecentLeader() {
		return
	}
	if m.Term > n.hard.Term {
		n.becomeFollower(m.Term, 0)
	}
	if m.Term < n.hard.Term {
		n.rejectStale(m)
		return
	}
	n.dispatch(m)
}

// rejectStale rejects messages of a leader of an earlier term, so that it steps down.
func (n *Node) rejectStale(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageInstallSnapshot:
		n.send(Message{Type: MessageAppendReply, To: m.From, Reject: true, Hint: n.log.last()})
	}
}

func (n *Node) dispatch(m Message) {
	switch m.Type {
	case MessagePreVoteReply:
		if n.role == PreCandidate {
			n.recordVote(m.From, false)
		}
	case MessageVote:
		n.handleVote(m)
	case MessageVoteReply:
		if n.role == Candidate {
			n.recordVote(m.From, !m.Reject)
		}
	case MessageAppend:
		n.follow(m)
		n.handleAppend(m)
	case MessageHeartbeat:
		n.follow(m)
		n.handleHeartbeat(m)
	case MessageInstallSnapshot:
		n.follow(m)
		n.handleSnapshot(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageTimeoutNow:
		if n.members.IsVoter(n.config.ID) && n.role == Follower {
			n.campaign(leadershipTransfer)
		}
	}
}

// follow accepts the sender as the leader of the current term.
func (n *Node) follow(m Message) {
	if n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.leaderContact = n.now
	n.resetElection()
}

func (n *Node) handleAppend(m Message) {
	reply := Message{Type: MessageAppendReply, To: m.From, SentAt: m.SentAt}
	if m.Index < n.log.commit {
		// The leader's view of this node is stale. The log up to the commit index matches
		// that of any leader.
		reply.Index = n.log.commit
		n.send(reply)
		return
	}
	if term, held := n.log.term(m.Index); !held || term != m.LogTerm {
		reply.Reject, reply.Index, reply.Hint = true, m.Index, min(n.log.last(), m.Index)
		n.send(reply)
		return
	}
	n.mergeEntries(m.Entries)
	matched := m.Index + uint64(len(m.Entries))
	n.log.commit = max(n.log.commit, min(m.Commit, matched))
	reply.Index = matched
	n.send(reply)
}

func (n *Node) mergeEntries(entries []Entry) {
	before := n.log.last()
	n.log.merge(entries)
	if len(entries) == 0 {
		return
	}
	n.revertMemberships(entries[0].Index, before)
	for _, e := range entries {
		n.applyMembership(e)
	}
}

// handleHeartbeat adopts the leader's commit index. A leader never sends one above the index up
// to which the follower's log matches.
func (n *Node) handleHeartbeat(m Message) {
	n.log.commit = max(n.log.commit, min(m.Commit, n.log.last()))
	n.send(Message{Type: MessageHeartbeatReply, To: m.From, SentAt: m.SentAt, Index: n.log.last()})
}

func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	reply := Message{Type: MessageAppendReply, To: m.From, SentAt: m.SentAt}
	if s.Index <= n.log.commit {
		reply.Index = n.log.commit
		n.send(reply)
		return
	}
	if term, held := n.log.term(s.Index); held && term == s.Term {
		// Later entries may have been acknowledged and must be retained.
		n.log.commit = s.Index
		reply.Index = s.Index
		n.send(reply)
		return
	}
	n.log.restore(s.Index, s.Term)
	n.members = s.Membership.Clone()
	n.memberships = []membershipAt{{index: s.Index, members: n.members}}
	n.snapshot, n.pendingSnapshot = s, s
	reply.Index = s.Index
	n.send(reply)
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.others() {
		p := n.progress[id]
		n.send(Message{Type: MessageHeartbeat, To: id, Commit: min(p.match, n.log.commit), SentAt: n.now})
		if p.probing && n.now >= p.resendAt {
			p.inflight = 0
			p.snapshotAt = 0
			n.sendAppend(id)
		}
	}
}

// sendAppend sends the next entries to the member, or a snapshot if the log no longer has them,
// as far as flow control allows.
func (n *Node) sendAppend(id uint64) {
	p := n.progress[id]
	if p.snapshotAt != 0 || p.inflight >= maxInflightMessages || (p.probing && p.inflight > 0) {
		return
	}
	previous := p.next - 1
	term, held := n.log.term(previous)
	if !held {
		n.sendSnapshot(id, p)
		return
	}
	entries := n.log.slice(p.next, maxEntriesPerMessage, maxBytesPerMessage)
	n.send(Message{Type: MessageAppend, To: id, Index: previous, LogTerm: term, Entries: entries,
		Commit: n.log.commit, SentAt: n.now})
	p.inflight++
	p.resendAt = n.now + n.config.ElectionTimeout
	if !p.probing {
		p.next += uint64(len(entries))
	}
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	if n.snapshot == nil {
		return
	}
	p.snapshotAt = n.snapshot.Index
	p.probing = true
	p.resendAt = n.now + 4*n.config.ElectionTimeout
	n.send(Message{Type: MessageInstallSnapshot, To: id, Snapshot: n.snapshot, SentAt: n.now})
}

func (n *Node) handleAppendReply(m Message) {
	p := n.recordReply(m)
	if p == nil {
		return
	}
	p.inflight = max(0, p.inflight-1)
	if m.Reject {
		if m.Index < p.match || (p.probing && m.Index != p.next-1) {
			return
		}
		p.next = max(p.match+1, min(m.Hint+1, m.Index))
		p.probing, p.inflight = true, 0
		n.sendAppend(m.From)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
		n.maybeCommit()
	}
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.snapshotAt != 0 && p.match >= p.snapshotAt {
		p.snapshotAt = 0
	}
	n.finishTransfer(m.From)
	if p.next <= n.log.last() {
		n.sendAppend(m.From)
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	p := n.recordReply(m)
	if p == nil || p.snapshotAt != 0 {
		return
	}
	// A follower that replies to heartbeats but lacks entries has lost a message.
	if p.match < n.log.last() && n.now >= p.resendAt {
		p.probing, p.inflight = true, 0
		p.next = p.match + 1
		n.sendAppend(m.From)
	}
}

// recordReply records a reply to this leader and returns the member's progress, or nil if the node
// is not the leader or the sender is not a member.
func (n *Node) recordReply(m Message) *progress {
	if n.role != Leader {
		return nil
	}
	p, known := n.progress[m.From]
	if !known {
		return nil
	}
	p.active = n.now
	if !m.Reject {
		p.ackedSentAt = max(p.ackedSentAt, m.SentAt)
	}
	return p
}

// maybeCommit commits the highest entry of the current term that is durable on a majority. Entries
// of earlier terms are committed with it, never alone.
func (n *Node) maybeCommit() {
	matches := make([]uint64, 0, len(n.members.Voters))
	for _, id := range n.members.Voters {
		if id == n.config.ID {
			matches = append(matches, n.log.stable)
			continue
		}
		matches = append(matches, n.progress[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-n.members.Quorum()]
	term, _ := n.log.term(index)
	if index <= n.log.commit || term != n.hard.Term {
		return
	}
	n.log.commit = index
	for _, id := range n.others() {
		p := n.progress[id]
		if p.match >= index {
			n.send(Message{Type: MessageHeartbeat, To: id, Commit: index, SentAt: n.now})
		}
	}
	n.stepDownIfRemoved()
}
