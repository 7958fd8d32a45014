package raft

// resetElection draws the time of the next election.
func (n *Node) resetElection() {
	jitter := n.config.Random.Int64N(int64(n.config.ElectionTimeout))
	n.electionAt = n.now + n.config.ElectionTimeout + timeOf(jitter)
}

// becomeFollower enters the term as a follower of leader, or of none when
// leader is 0.
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

// occasion is why a node campaigns.
type occasion int

const (
	// silence: no leader was heard of for an election timeout.
	silence occasion = iota
	// handover: the leader asked this node to take over.
	handover
	// returned: this node led the present term before it started anew. Its
	// lease ended with its last life and the term has had no other leader, so
	// there is nothing to wait for.
	returned
)

// campaign asks for pre-votes, or for votes at once when it is known that no
// lease can be running.
func (n *Node) campaign(why occasion) {
	n.leader = 0
	n.votes = map[uint64]bool{}
	n.resetElection()
	if why != silence {
		n.requestVotes(why)
		return
	}
	n.role = PreCandidate
	n.countVote(n.config.ID, true)
	if n.role != PreCandidate {
		return
	}
	n.askAll(Message{Type: MessagePreVote, Term: n.hard.Term + 1})
}

func (n *Node) requestVotes(why occasion) {
	n.role = Candidate
	n.why = why
	n.hard.Term++
	n.hard.Vote = n.config.ID
	n.votes = map[uint64]bool{}
	n.countVote(n.config.ID, true)
	if n.role != Candidate {
		return
	}
	n.askForVotes()
}

func (n *Node) askForVotes() {
	n.heartbeatAt = n.now + n.config.HeartbeatInterval
	n.askAll(Message{Type: MessageVote, Term: n.hard.Term, Transfer: n.why != silence})
}

// tickCandidate asks again after a return: the others may be starting as well
// and not have heard the first time.
func (n *Node) tickCandidate() {
	if n.why == returned && n.now >= n.heartbeatAt {
		n.askForVotes()
	}
}

func (n *Node) askAll(m Message) {
	m.Index, m.LogTerm = n.log.last(), n.log.lastTerm()
	for _, id := range n.others() {
		if n.members.IsVoter(id) {
			m.To = id
			n.send(m)
		}
	}
}

// countVote records an answer and acts on a majority.
func (n *Node) countVote(from uint64, granted bool) {
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
		n.requestVotes(silence)
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
	return &progress{next: n.log.last() + 1, probing: true, heard: n.now, echoed: -n.config.LeaseDuration}
}

// leaderIsAlive tells whether the node heard from a leader so lately that it
// must not help to elect another: the old one may count on its lease.
func (n *Node) leaderIsAlive() bool {
	return n.role == Leader || n.now-n.leaderHeard < n.config.ElectionTimeout
}

func (n *Node) handlePreVote(m Message) {
	granted := m.Term > n.hard.Term && n.log.upToDate(m.Index, m.LogTerm) && !n.leaderIsAlive()
	reply := Message{Type: MessagePreVoteReply, To: m.From, Term: m.Term, Reject: !granted}
	if !granted {
		reply.Term = max(n.hard.Term, 1)
	}
	n.send(reply)
}

// handleVote answers a candidate of the node's own term.
func (n *Node) handleVote(m Message) {
	free := n.hard.Vote == 0 || n.hard.Vote == m.From
	granted := free && n.log.upToDate(m.Index, m.LogTerm)
	if granted {
		n.hard.Vote = m.From
		n.resetElection()
	}
	n.send(Message{Type: MessageVoteReply, To: m.From, Reject: !granted})
}

// TransferLeadership starts a hand-over to a voter, for a planned stop. The
// leader takes no proposals meanwhile, and steps down after an election timeout if
// nobody has taken over.
func (n *Node) TransferLeadership(to uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.config.ID || !n.members.IsVoter(to) {
		return ErrUnknownMember
	}
	n.transferring = to
	n.transferEnd = n.now + n.config.ElectionTimeout
	n.finishTransfer(to)
	return nil
}

// finishTransfer lets the target campaign once it holds the whole log.
func (n *Node) finishTransfer(from uint64) {
	if n.transferring == from && n.progress[from].match == n.log.last() {
		n.send(Message{Type: MessageTimeoutNow, To: from})
	}
}
