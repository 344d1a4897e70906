//! Raft consensus core, free of I/O.
//!
//! The core implements Raft as in Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm" (USENIX ATC 2014), with these parts of Ongaro's thesis "Consensus:
//! Bridging Theory and Practice" (Stanford 2014), sections in parentheses: pre-vote (9.6),
//! check-quorum and leader leases (6.4), linearizable reads (6.4), single-server membership
//! changes (4), leadership transfer (3.10), and log compaction (5). A leader appends a blank
//! entry at the start of its term; it changes the members, serves reads and holds a lease only
//! once that entry is committed.
//!
//! [`ConsensusCore::step`] takes the time and one input and returns outputs, which the replica
//! thread executes in order. A message with `after_sync` must not be sent before earlier writes
//! are durable, so that an acknowledged entry or vote is always on disk.

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
pub use self::input::CoreOutput;
pub use self::input::CoreRefusal;
pub use self::input::MemberChange;
pub use self::input::RequestId;
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

/// Raft role of a replica in the current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaRole {
    /// Accepts entries from a leader, or waits for one.
    Follower,
    /// Asks the voters whether it could win an election, without raising its term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Appends entries and replicates them to the other members.
    Leader,
}

/// State of each [`ReplicaRole`]; `granted` holds the voters that agreed, with this replica.
#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate { granted: IndexSet<ReplicaId> },
    Candidate { granted: IndexSet<ReplicaId> },
    Leader(Box<LeaderState>),
}

/// Raft state of one replica.
#[derive(Debug)]
pub struct ConsensusCore {
    id: ReplicaId,
    settings: CheckedSettings,
    hard_state: HardState,
    log: EntryLog,
    snapshot: Option<SnapshotImage>,
    /// Identity of `snapshot`, computed when it is first needed.
    snapshot_id: Option<SnapshotId>,
    /// Member sets with the index from which each is in effect, oldest first.
    member_sets: VecDeque<(LogIndex, MemberSet)>,
    /// Commit index; all entries up to it were output for applying.
    commit: LogIndex,
    /// Highest index that is durable on this replica.
    persisted: LogIndex,
    role: RoleState,
    leader: Option<ReplicaMember>,
    /// Time of the latest message from a leader; votes are refused for the minimum election
    /// timeout from then.
    heard_leader_at: BootTime,
    election_deadline: BootTime,
    incoming_snapshot: Option<IncomingSnapshot>,
    random: ChaCha8Rng,
    /// Whether a saved term or vote is not durable yet; until then no message may be sent.
    hard_state_unsynced: bool,
    outputs: Vec<CoreOutput>,
}

impl ConsensusCore {
    /// Creates a follower from the state that storage held.
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
        let initial_members = stored
            .snapshot
            .as_ref()
            .map_or(stored.initial_members, |s| s.members.clone());
        let mut member_sets = VecDeque::from([(base.0, initial_members)]);
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
            // This replica may have acknowledged a heartbeat just before the restart, so that the
            // leader still holds a lease.
            heard_leader_at: now,
            election_deadline: now,
            incoming_snapshot: None,
            random: ChaCha8Rng::seed_from_u64(seed),
            hard_state_unsynced: false,
            outputs: Vec::new(),
        };
        core.reset_election_deadline(now);
        core
    }

    /// Processes one input and returns the outputs to execute, in order.
    pub fn step(&mut self, now: BootTime, input: CoreInput) -> Vec<CoreOutput> {
        match input {
            CoreInput::Tick => self.tick(now),
            CoreInput::Flush => self.replicate(now),
            CoreInput::Persisted => self.handle_persisted(now),
            CoreInput::Message(message) => self.handle_message(now, message),
            CoreInput::Propose {
                request_id,
                command,
            } => self.propose(now, request_id, command),
            CoreInput::Read { request_id } => self.read(now, request_id),
            CoreInput::Change { request_id, change } => self.change(now, request_id, change),
            CoreInput::Transfer => self.begin_transfer(now),
            CoreInput::SnapshotSaved(image) => self.compact(image),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Time at which the next [`CoreInput::Tick`] is due.
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

    /// Raft role of this replica in the current term.
    pub fn role(&self) -> ReplicaRole {
        match &self.role {
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::PreCandidate { .. } => ReplicaRole::PreCandidate,
            RoleState::Candidate { .. } => ReplicaRole::Candidate,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// Leader of the current term, if this replica knows it.
    pub fn leader(&self) -> Option<ReplicaMember> {
        self.leader
    }

    /// Whether this replica has to ask the leader for membership: it is no member, or it knows no
    /// leader. A replica that was removed while it was silent still finds itself in its own member
    /// set, and no leader contacts it.
    pub fn needs_join(&self) -> bool {
        self.members().get(self.id).is_none() || self.leader.is_none()
    }

    /// Commit index.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Highest index in the log.
    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// Last index that the latest snapshot includes; 0 without a snapshot.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    /// Latest member set of the log, which is in effect even before it is committed.
    pub fn members(&self) -> &MemberSet {
        let (_, members) = self.member_sets.back().expect("a member set always exists");
        members
    }

    /// Member set in effect at the entry at `index`.
    pub fn members_at(&self, index: LogIndex) -> &MemberSet {
        let effective = self.member_sets.iter().rev().find(|(i, _)| *i <= index);
        let (_, members) = effective
            .or(self.member_sets.front())
            .expect("a member set always exists");
        members
    }

    /// Term of the entry at `index`, or `None` if it was compacted or does not exist.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    fn handle_message(&mut self, now: BootTime, message: PeerMessage) {
        let misdirected = message.cell != self.settings.cell || message.to != self.id;
        if misdirected || message.from == self.id {
            return;
        }
        // A pre-vote message may have a proposed term, which must not raise the current one.
        match message.body {
            MessageBody::PreVoteRequest(request) => {
                return self.handle_pre_vote_request(now, &message, request);
            }
            MessageBody::PreVoteResponse { granted: true } => {
                return self.handle_pre_vote_response(now, &message);
            }
            MessageBody::VoteRequest(request)
                if self.ignores_vote_request(now, &message, request) =>
            {
                return;
            }
            _ => {}
        }
        if message.term > self.hard_state.term {
            self.step_down(now, message.term);
        }
        if message.term < self.hard_state.term {
            return self.reply_to_stale_term(&message);
        }
        self.handle_current_term_message(now, message);
    }

    fn handle_current_term_message(&mut self, now: BootTime, message: PeerMessage) {
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest(request) => self.handle_vote_request(now, &message, request),
            MessageBody::VoteResponse { granted } => self.handle_vote_response(now, from, granted),
            MessageBody::AppendRequest(request) => {
                if self.accept_leader(now, from, message.from_address) {
                    self.handle_append_request(from, message.from_address, request);
                }
            }
            MessageBody::AppendResponse(response) => {
                self.handle_append_response(now, from, response)
            }
            MessageBody::SnapshotChunk(chunk) => {
                if self.accept_leader(now, from, message.from_address) {
                    self.handle_snapshot_chunk(from, message.from_address, chunk);
                }
            }
            MessageBody::SnapshotResponse(response) => {
                self.handle_snapshot_response(now, from, response)
            }
            MessageBody::TimeoutNow => self.handle_timeout_now(now, from),
            MessageBody::PreVoteRequest(_) | MessageBody::PreVoteResponse { .. } => {}
        }
    }

    /// Follows `from` as the leader of the current term; always returns `true`.
    ///
    /// Panics if this replica leads the term itself, since a term has at most one leader.
    fn accept_leader(
        &mut self,
        now: BootTime,
        from: ReplicaId,
        address: std::net::SocketAddr,
    ) -> bool {
        assert!(
            !matches!(self.role, RoleState::Leader(_)),
            "replica {from} acts as leader of term {}, which replica {} leads",
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

    fn handle_persisted(&mut self, now: BootTime) {
        self.persisted = self.log.last_index();
        self.hard_state_unsynced = false;
        self.advance_commit(now);
        self.finish_transfer(now);
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
        self.outputs.push(CoreOutput::SaveHardState(state));
    }

    /// Appends entries to the log in memory and outputs them for storage.
    fn append_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in &entries {
            if let EntryPayload::Members(members) = &entry.payload {
                self.member_sets.push_back((entry.index, members.clone()));
            }
            self.log.push(entry.clone());
        }
        self.outputs.push(CoreOutput::AppendEntries(entries));
    }

    /// Raises the commit index and outputs the newly committed entries for applying.
    fn commit_through(&mut self, index: LogIndex) {
        if index <= self.commit {
            return;
        }
        let count = index.0 - self.commit.0;
        let entries = self.log.slice(self.commit.next(), count, usize::MAX);
        self.commit = index;
        self.outputs.push(CoreOutput::Apply(entries));
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
        self.outputs.push(CoreOutput::Send {
            message,
            after_sync: after_sync || self.hard_state_unsynced,
        });
    }

    fn refuse(&mut self, request_id: RequestId, refusal: CoreRefusal) {
        self.outputs.push(CoreOutput::Refused {
            request_id,
            refusal,
        });
    }
}
