//! The consensus core: Raft, free of I/O.
//!
//! The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm" (USENIX ATC 2014), with these parts of Ongaro's thesis "Consensus: Bridging
//! Theory and Practice" (Stanford 2014): pre-vote (9.6), check-quorum and leader leases (6.4),
//! linearizable reads (6.4), single-server membership changes (4), leadership transfer (3.10),
//! and log compaction (5). A leader appends a blank entry at the start of its term; it changes
//! the members, serves reads and holds a lease only once that entry is committed.
//!
//! [`ConsensusCore::step`] takes the time and one input and returns outcomes, to be carried
//! out in order. What an outcome sends `after_sync` must not leave before earlier writes are
//! durable; that is what makes an acknowledgement mean "synced".

mod append;
mod election;
mod input;
mod leader;
mod lease;
mod log;
mod membership;
mod peer;
mod snapshot;

use std::collections::VecDeque;

use indexmap::IndexSet;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::input::CoreInput;
pub use self::input::CoreOutcome;
pub use self::input::CoreRefusal;
pub use self::input::MemberChange;
pub use self::input::RequestTicket;
pub use self::input::StoredState;
use self::leader::LeaderState;
use self::log::EntryLog;
use self::snapshot::IncomingSnapshot;
use crate::entry::EntryPayload;
use crate::entry::HardState;
use crate::entry::LogEntry;
use crate::entry::LogIndex;
use crate::entry::SnapshotImage;
use crate::entry::Term;
use crate::member::MemberRole;
use crate::member::MemberSet;
use crate::member::ReplicaId;
use crate::member::ReplicaMember;
use crate::message::MessageBody;
use crate::message::OutgoingMessage;
use crate::message::PeerMessage;
use crate::message::SnapshotId;
use crate::settings::CheckedSettings;
use guavavane_model::time::BootTime;

/// What a replica does in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate { granted: IndexSet<ReplicaId> },
    Candidate { granted: IndexSet<ReplicaId> },
    Leader(Box<LeaderState>),
}

/// One replica's view of the group.
#[derive(Debug)]
pub struct ConsensusCore {
    id: ReplicaId,
    settings: CheckedSettings,
    hard_state: HardState,
    log: EntryLog,
    snapshot: Option<SnapshotImage>,
    snapshot_id: Option<SnapshotId>,
    /// Member sets with the index that each is effective from, oldest first.
    member_sets: VecDeque<(LogIndex, MemberSet)>,
    /// Highest index known to be committed; everything up to it was handed out for applying.
    commit: LogIndex,
    /// Highest index that is durable here.
    persisted: LogIndex,
    role: RoleState,
    leader: Option<ReplicaMember>,
    /// Since when votes are refused in favour of a leader that was heard.
    heard_leader_at: BootTime,
    election_deadline: BootTime,
    incoming: Option<IncomingSnapshot>,
    random: ChaCha8Rng,
    /// A term or vote was given to storage and is not durable yet: nothing may be sent.
    hard_state_unsynced: bool,
    outcomes: Vec<CoreOutcome>,
}

impl ConsensusCore {
    /// Resumes from what storage held.
    pub fn new(
        id: ReplicaId,
        settings: CheckedSettings,
        stored: StoredState,
        now: BootTime,
        seed: u64,
    ) -> Self {
        let base = stored
            .snapshot
            .as_ref()
            .map_or((LogIndex(0), Term(0)), |s| (s.index, s.term));
        let first_members = stored
            .snapshot
            .as_ref()
            .map_or(stored.first_members, |s| s.members.clone());
        let mut member_sets = VecDeque::from([(base.0, first_members)]);
        for entry in &stored.entries {
            if let EntryPayload::Members(members) = &entry.payload {
                member_sets.push_back((entry.index, members.clone()));
            }
        }
        let log = EntryLog::new(base.0, base.1, stored.entries);
        let mut core = Self {
            id,
            settings,
            hard_state: stored.hard_state,
            commit: base.0,
            persisted: log.last_index(),
            log,
            snapshot: stored.snapshot,
            snapshot_id: None,
            member_sets,
            role: RoleState::Follower,
            leader: None,
            // A leader may have been heard just before the restart.
            heard_leader_at: now,
            election_deadline: now,
            incoming: None,
            random: ChaCha8Rng::seed_from_u64(seed),
            hard_state_unsynced: false,
            outcomes: Vec::new(),
        };
        core.reset_election_deadline(now);
        core
    }

    /// Takes one input and returns what is to be done about it, in order.
    pub fn step(&mut self, now: BootTime, input: CoreInput) -> Vec<CoreOutcome> {
        match input {
            CoreInput::Tick => self.tick(now),
            CoreInput::Flush => self.replicate(now),
            CoreInput::Persisted => self.note_persisted(now),
            CoreInput::Message(message) => self.receive(now, message),
            CoreInput::Propose { ticket, command } => self.propose(now, ticket, command),
            CoreInput::Read { ticket } => self.read(now, ticket),
            CoreInput::Change { ticket, change } => self.change(now, ticket, change),
            CoreInput::Transfer => self.begin_transfer(now),
            CoreInput::SnapshotSaved(image) => self.compact(image),
        }
        std::mem::take(&mut self.outcomes)
    }

    /// When the next [`CoreInput::Tick`] is due.
    pub fn next_deadline(&self) -> BootTime {
        match &self.role {
            RoleState::Leader(state) => state.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// What this replica does in the current term.
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate { .. } => ReplicaRole::PreCandidate,
            RoleState::Candidate { .. } => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// The leader, as far as it is known.
    pub fn leader(&self) -> Option<ReplicaMember> {
        self.leader
    }

    /// Highest committed index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Highest index in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Size of the entries kept in memory.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Index of the latest snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    /// The members that are effective now.
    pub fn members(&self) -> &MemberSet {
        let (_, members) = self.member_sets.back().expect("a member set always exists");
        members
    }

    /// The members as of the entry at `index`.
    pub fn members_at(&self, index: LogIndex) -> &MemberSet {
        let earlier = self.member_sets.iter().rev().find(|(i, _)| *i <= index);
        let (_, members) = earlier
            .or(self.member_sets.front())
            .expect("a member set always exists");
        members
    }

    /// Term of the entry at `index`, if it is still kept.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    fn receive(&mut self, now: BootTime, message: PeerMessage) {
        let misdirected = message.cell != self.settings.cell || message.to != self.id;
        if misdirected || message.from == self.id {
            return;
        }
        match message.body {
            MessageBody::PreVoteRequest(request) => {
                return self.answer_pre_vote(now, &message, request);
            }
            MessageBody::PreVoteResponse { granted: true } => {
                return self.count_pre_vote(now, &message);
            }
            MessageBody::VoteRequest(request) if self.ignores_vote(now, &message, request) => {
                return;
            }
            _ => {}
        }
        if message.term > self.hard_state.term {
            self.step_down(now, message.term);
        }
        if message.term < self.hard_state.term {
            return self.answer_stale(&message);
        }
        self.receive_current(now, message);
    }

    fn receive_current(&mut self, now: BootTime, message: PeerMessage) {
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest(request) => self.answer_vote(now, &message, request),
            MessageBody::VoteResponse { granted } => self.count_vote(now, from, granted),
            MessageBody::AppendRequest(request) => {
                if self.follow(now, from, message.from_address) {
                    self.answer_append(from, message.from_address, request);
                }
            }
            MessageBody::AppendResponse(response) => self.note_append(now, from, response),
            MessageBody::SnapshotChunk(chunk) => {
                if self.follow(now, from, message.from_address) {
                    self.take_chunk(from, message.from_address, chunk);
                }
            }
            MessageBody::SnapshotResponse(response) => self.note_chunk(now, from, response),
            MessageBody::TimeoutNow => self.campaign_at_once(now, from),
            MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { .. } => {}
        }
    }

    /// Accepts `from` as the leader of the current term.
    fn follow(&mut self, now: BootTime, from: ReplicaId, address: std::net::SocketAddr) -> bool {
        assert!(
            !matches!(self.role, RoleState::Leader(_)),
            "{from} claims to lead term {} of {}",
            self.hard_state.term,
            self.id,
        );
        self.role = RoleState::Follower;
        self.leader = Some(ReplicaMember {
            id: from,
            address,
            role: MemberRole::Voter,
        });
        self.heard_leader_at = now;
        self.reset_election_deadline(now);
        true
    }

    fn tick(&mut self, now: BootTime) {
        if matches!(self.role, RoleState::Leader(_)) {
            return self.tick_leader(now);
        }
        if now < self.election_deadline {
            return;
        }
        self.leader = None;
        if self.members().is_voter(self.id) {
            self.start_pre_vote(now);
        } else {
            self.reset_election_deadline(now);
        }
    }

    fn note_persisted(&mut self, now: BootTime) {
        self.persisted = self.log.last_index();
        self.hard_state_unsynced = false;
        self.advance_commit(now);
    }

    fn reset_election_deadline(&mut self, now: BootTime) {
        let shortest = self.settings.election_timeout_min_ms;
        let longest = self.settings.election_timeout_max_ms;
        let timeout_ms = self.random.random_range(shortest..=longest);
        self.election_deadline = now + std::time::Duration::from_millis(timeout_ms);
    }

    fn save_hard_state(&mut self) {
        let state = self.hard_state;
        self.hard_state_unsynced = true;
        self.outcomes.push(CoreOutcome::SaveHardState(state));
    }

    /// Appends entries to the log in memory and gives them to storage.
    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            if let EntryPayload::Members(members) = &entry.payload {
                self.member_sets.push_back((entry.index, members.clone()));
            }
            self.log.push(entry.clone());
        }
        self.outcomes.push(CoreOutcome::AppendEntries(entries));
    }

    /// Raises the commit index and hands out the entries for applying.
    fn commit_through(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        let count = index.0 - self.commit.0;
        let entries = self.log.slice(self.commit.next(), count, usize::MAX);
        self.commit = index;
        self.outcomes.push(CoreOutcome::Apply(entries));
    }

    fn send_to(&mut self, to: ReplicaId, body: MessageBody, after_sync: bool) {
        let Some(member) = self.members().get(to) else {
            return;
        };
        let address = member.address;
        self.send(to, address, self.hard_state.term, body, after_sync);
    }

    fn send(
        &mut self,
        to: ReplicaId,
        address: std::net::SocketAddr,
        term: Term,
        body: MessageBody,
        after_sync: bool,
    ) {
        let message = PeerMessage {
            cell: self.settings.cell,
            from: self.id,
            from_address: self.settings.address,
            to,
            term,
            body,
        };
        let message = OutgoingMessage {
            to,
            address,
            message,
        };
        self.outcomes.push(CoreOutcome::Send {
            message,
            after_sync: after_sync || self.hard_state_unsynced,
        });
    }

    fn refuse(&mut self, ticket: RequestTicket, refusal: CoreRefusal) {
        self.outcomes.push(CoreOutcome::Refused { ticket, refusal });
    }
}
