package raft

// resetElection restarts the election timer with a random timeout.
func (n *Node) resetElection() {
	jitter := n.config.Random.Int64N(int64(n.config.ElectionTimeout))
	n.electionAt = n.now + n.config.ElectionTimeout + toDuration(jitter)
}

// becomeFollower enters the term as a follower of leader. Leader is 0 if it is not known.
func (n *Node) becomeFollower(term, leader uint64) {
	if term != n.hard.Term {
		n.hard.Term = term
		n.hard.Vote = 0
	}
	n.role = Follower
	n.leader = leader
	n.transferring = 0
	n.progress = nil
	n.votes = nil
	n.resetElection()
}

// campaignReason is the reason for a campaign.
type campaignReason int

const (
	// electionTimedOut means that no leader was in contact for an election timeout.
	electionTimedOut campaignReason = iota
	// leadershipTransfer means that the leader requested this node to take over.
	leadershipTransfer
	// restartedAsLeader means that this node led the current term before it restarted. The
	// term has no other leader and the lease ended with the old process, so there is no lease
	// to wait for.
	restartedAsLeader
)

// campaign requests pre-votes. It requests votes at once if the reason rules out that another
// node holds a lease.
func (n *Node) campaign(reason campaignReason) {
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetElection()
	if reason != electionTimedOut {
		n.requestVotes(reason)
		return
	}
	n.role = PreCandidate
	n.recordVote(n.config.ID, true)
	if n.role != PreCandidate {
		return
	}
	n.sendToVoters(Message{Type: MessagePreVote, Term: n.hard.Term + 1})
}

func (n *Node) requestVotes(reason campaignReason) {
	n.role = Candidate
	n.reason = reason
	n.hard.Term++
	n.hard.Vote = n.config.ID
	n.votes = map[uint64]bool{}
	n.recordVote(n.config.ID, true)
	if n.role != Candidate {
		return
	}
	n.sendVoteRequests()
}

func (n *Node) sendVoteRequests() {
	n.heartbeatAt = n.now + n.config.HeartbeatInterval
	n.sendToVoters(Message{Type: MessageVote, Term: n.hard.Term, Transfer: n.reason != electionTimedOut})
}

// tickCandidate repeats vote requests after a restart, since the other members may have been
// restarting and missed the first ones.
func (n *Node) tickCandidate() {
	if n.reason == restartedAsLeader && n.now >= n.heartbeatAt {
		n.sendVoteRequests()
	}
}

func (n *Node) sendToVoters(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.others() {
		if n.members.IsVoter(id) {
			m.To = id
			n.send(m)
		}
	}
}

// recordVote records a vote or pre-vote and acts on a majority.
func (n *Node) recordVote(from uint64, granted bool) {
	if !n.members.IsVoter(from) {
		return
	}
	n.votes[from] = granted
	yes, no := 0, 0
	for _, vote := range n.votes {
		if vote {
			yes++
		} else {
			no++
		}
	}
	switch {
	case yes >= n.members.Quorum() && n.role == PreCandidate:
		n.requestVotes(electionTimedOut)
	case yes >= n.members.Quorum() && n.role == Candidate:
		n.becomeLeader()
	case no >= n.members.Quorum():
		n.becomeFollower(n.hard.Term, 0)
	}
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.hard.LedTerm = n.hard.Term
	n.transferring = 0
	n.progress = map[uint64]*progress{}
	for _, id := range n.others() {
		n.progress[id] = n.newProgress()
	}
	n.heartbeatAt = n.now + n.config.HeartbeatInterval
	n.termStart = n.appendEntry(EntryNoOp, nil)
}

func (n *Node) newProgress() *progress {
	return &progress{next: n.log.last() + 1, probing: true, active: n.now, ackedSentAt: -n.config.LeaseDuration}
}

// hasRecentLeader reports whether the node is the leader or was in contact with one within an
// election timeout. It must then not help to elect another, since the leader may hold a lease.
func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.now-n.leaderContact < n.config.ElectionTimeout
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm) && !n.hasRecentLeader()
	reply := Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = max(n.hard.Term, 1)
	}
	n.send(reply)
}

// handleVote answers a vote request of the current term.
func (n *Node) handleVote(m Message) {
	free := n.hard.Vote == 0 || n.hard.Vote == m.From
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.hard.Vote = m.From
		n.resetElection()
	}
	n.send(Message{Type: MessageVoteReply, To: m.From, Reject: !granted})
}

// TransferLeadership starts a transfer of the leadership to a voter, for a planned stop. The
// leader rejects proposals meanwhile, and steps down if no other leader emerged after an
// election timeout. It returns ErrNotLeader or ErrUnknownMember.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.config.ID || !n.members.IsVoter(to) {
		return ErrUnknownMember
	}
	n.transferring = to
	n.transferDeadline = n.now + n.config.ElectionTimeout
	n.finishTransfer(to)
	return nil
}

// finishTransfer requests the target of a transfer to campaign once it has the whole log.
func (n *Node) finishTransfer(from uint64) {
	if n.transferring == from && n.progress[from].match == n.log.last() {
		n.send(Message{Type: MessageTimeoutNow, To: from})
	}
}
