//! What an entry does with a call while its leader answers, is late, or is gone.
//!
//! The load is an outage: all control VMs are unreachable for up to 9.5 s while callers go on to submit,
//! or one leader hands over to the next, which takes 0.1 to 1.3 s. No connection reset reports an
//! outage. Until the missing answers are noticed, each call that is written to the session may have
//! reached the leader, so its caller can't be told that the job will never run. A caller needs that
//! answer early, and needs it to be true: after it, the caller may submit the job elsewhere.
//!
//! The stream of a session keeps its order. An answer to something that was sent at one time therefore
//! shows that the leader has received all that was sent earlier, also calls whose commit is still open.
//! The leader is late if the first thing that was sent since has waited for markedly longer than pings
//! usually take. From then on calls are held back: they are certain not to have been sent. Holding back
//! is cheap, because a late leader would have read them late as well, so the threshold is low. Refusing
//! costs the caller a retry, so calls are refused only after the time that most hand-overs take.
//!
//! Nothing here does I/O: the owner reports what it has sent and received, and asks for a decision.

use std::collections::VecDeque;
use std::time::Duration;

use guavavane_model::prelude::BootTime;

/// Shortest time without an answer after which the leader counts as late. The leader may lose the
/// processor for most of a scheduling period of 100 ms.
const LATE_THRESHOLD_MIN: Duration = Duration::from_millis(100);
/// Longest time without an answer that counts as usual: half of the silence that ends a session.
const LATE_THRESHOLD_MAX: Duration = Duration::from_millis(500);
/// Weight of the deviation in the threshold, as in the retransmission timeout of TCP (RFC 6298).
const DEVIATION_FACTOR: u32 = 4;
/// A new sample enters the mean with a weight of one eighth (RFC 6298).
const MEAN_DIVISOR: u32 = 8;
/// A new difference from the mean enters the deviation with a weight of one quarter (RFC 6298).
const DEVIATION_DIVISOR: u32 = 4;
/// Age of the first unanswered call at which a ping is sent after it. A commit usually takes less.
const PROBE_AGE: Duration = Duration::from_millis(40);
/// Shortest time between two such pings. Together with the time to the next check it stays below the
/// shortest threshold.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two calls of [`LeaderContact::observe`] from which this process counts as paused:
/// answers may have arrived that it has not read. With a session open, the owner observes at each ping,
/// every 300 ms.
const OWN_PAUSE_MIN: Duration = Duration::from_millis(500);
/// Longest wait of a call other than a new submission while no leader is known; an election takes
/// about as long.
const LEADERLESS_WAIT_MAX: Duration = Duration::from_millis(1_300);
/// Longest wait of a new submission while no leader is known: an election is usually over by then,
/// and during a longer outage the caller does better to retry.
const LEADERLESS_SUBMIT_WAIT_MAX: Duration = Duration::from_millis(600);
/// Largest part of a caller's own wait that may pass without a leader, in percent.
const LEADERLESS_MAX_PERCENT: u32 = 40;
/// Largest part of a caller's own wait for which a call is held back from a late leader, in percent.
/// The part is larger than without a leader: the session answers or closes within a second, and with a
/// smaller part, callers with short waits would be refused for a brief delay of the leader.
const LATE_MAX_PERCENT: u32 = 75;
/// Absence of the leader from which calls are refused at once: the longest hand-over, and the time to
/// find the next leader.
const REFUSAL_AGE: Duration = Duration::from_millis(1_600);
/// Divisor of the absence so far that gives the retry delay: the longer an outage has lasted, the longer
/// it is expected to go on.
const RETRY_DIVISOR: u32 = 2;
/// Shortest retry delay: the length of an election.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(1_000);
/// Longest retry delay: the time for which a caller waits without a deadline of its own.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(3_000);

/// Contact with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactPhase {
    /// A session is open and its answers arrive in time.
    Answering,
    /// A session is open, and what was sent at `since` has had no answer for too long.
    Late {
        /// Time of sending of the first unanswered message.
        since: BootTime,
    },
    /// No session is open.
    Absent {
        /// Time since which no leader has answered.
        since: BootTime,
        /// Time at which the session closed, or the process started.
        closed_at: BootTime,
    },
}

impl ContactPhase {
    /// Name of the variant, used as a metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answering => "answering",
            Self::Late { .. } => "late",
            Self::Absent { .. } => "absent",
        }
    }
}

/// Kind of a call, which decides what an unanswered one means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Submission of a job: it may have been accepted once it was sent.
    Submission,
    /// Cancellation of a job: it may have been carried out once it was sent.
    Cancellation,
    /// Query, which has no effect.
    Query,
}

/// What the entry knows about a call without a reply.
#[derive(Clone, Copy, Debug)]
pub struct CallFacts {
    /// Kind of the call.
    pub kind: CallKind,
    /// Time at which the call arrived.
    pub arrived_at: BootTime,
    /// Time at which its reply is due.
    pub deadline: BootTime,
    /// Whether the call was queued on the open session.
    pub is_sent: bool,
    /// Whether the call was queued on a session that closed without a reply.
    pub was_sent_before: bool,
}

impl CallFacts {
    /// Whether the leader may have received the call, and the call has an effect.
    fn may_have_effect(&self) -> bool {
        (self.is_sent || self.was_sent_before) && self.kind != CallKind::Query
    }

    /// Part of the caller's own wait: with the rest of it, the caller can retry.
    fn share_of_wait(&self, percent: u32) -> Duration {
        self.deadline.saturating_since(self.arrived_at) * percent / 100
    }

    /// Decision for a call that waits no longer.
    fn give_up(&self) -> CallDecision {
        if self.may_have_effect() {
            CallDecision::Unknown
        } else {
            CallDecision::Refuse
        }
    }
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Send it on the open session.
    Send,
    /// Keep it: it waits for its reply, or is held back unsent.
    Hold,
    /// Answer that it was not carried out and never will be.
    Refuse,
    /// Answer that it may have been carried out.
    Unknown,
}

/// Times of what was sent to the leader and of its answers.
#[derive(Clone, Debug)]
pub struct LeaderContact {
    /// Phase as of the latest call of [`Self::observe`].
    phase: ContactPhase,
    /// Sending times of all that was sent on the open session since the latest answered message.
    unanswered: VecDeque<BootTime>,
    /// Mean time until the answer to a ping.
    answer_time: Duration,
    /// Mean deviation from `answer_time`.
    deviation: Duration,
    probed_at: BootTime,
    observed_at: BootTime,
    /// Time at which this process was first observed to run again after its latest pause.
    resumed_at: BootTime,
}

impl LeaderContact {
    /// State of a process that has started now and knows no leader.
    pub fn new(now: BootTime) -> Self {
        Self {
            phase: ContactPhase::Absent {
                since: now,
                closed_at: now,
            },
            unanswered: VecDeque::new(),
            answer_time: Duration::ZERO,
            deviation: Duration::ZERO,
            probed_at: BootTime::default(),
            observed_at: now,
            resumed_at: now,
        }
    }

    /// Phase as of the latest call of [`Self::observe`].
    pub fn phase(&self) -> ContactPhase {
        self.phase
    }

    /// Records that a session is open: the leader has answered its first ping.
    pub fn record_opened(&mut self, now: BootTime) {
        self.unanswered.clear();
        self.phase = ContactPhase::Answering;
        self.observed_at = now;
    }

    /// Records that the session has closed.
    pub fn record_closed(&mut self, now: BootTime) {
        let since = match self.phase {
            ContactPhase::Late { since } | ContactPhase::Absent { since, .. } => since,
            ContactPhase::Answering => now,
        };
        self.unanswered.clear();
        let closed_at = now;
        self.phase = ContactPhase::Absent { since, closed_at };
    }

    /// Records that a ping or a call was sent on the open session.
    pub fn record_sent(&mut self, sent_at: BootTime) {
        self.unanswered.push_back(sent_at);
    }

    /// Records the answer to a ping. Its time is not learned if this process was paused meanwhile.
    pub fn record_pong(&mut self, sent_at: BootTime, now: BootTime) {
        self.record_reply(sent_at);
        let was_paused =
            sent_at < self.resumed_at || now.saturating_since(self.observed_at) >= OWN_PAUSE_MIN;
        if !was_paused {
            let sample = now.saturating_since(sent_at);
            let difference = sample.abs_diff(self.answer_time);
            self.deviation =
                (self.deviation * (DEVIATION_DIVISOR - 1) + difference) / DEVIATION_DIVISOR;
            self.answer_time = (self.answer_time * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR;
        }
    }

    /// Records the reply to a call that was sent on the open session. How long a reply usually takes is
    /// not learned from it, since it may wait for a commit.
    pub fn record_reply(&mut self, sent_at: BootTime) {
        while self.unanswered.front().is_some_and(|time| *time <= sent_at) {
            self.unanswered.pop_front();
        }
    }

    /// Time without an answer after which the leader counts as late.
    pub fn late_threshold(&self) -> Duration {
        let usual = self.answer_time + self.deviation * DEVIATION_FACTOR;
        usual.clamp(LATE_THRESHOLD_MIN, LATE_THRESHOLD_MAX)
    }

    /// Updates the phase and returns whether it has changed in kind. Must be called before decisions, and
    /// again at least at each ping while a session is open.
    pub fn observe(&mut self, now: BootTime) -> bool {
        let was_paused = now.saturating_since(self.observed_at) >= OWN_PAUSE_MIN;
        self.observed_at = now;
        if matches!(self.phase, ContactPhase::Absent { .. }) {
            return false;
        }
        if was_paused {
            // A time in which this process did not run is no wait for the leader.
            self.resumed_at = now;
        }
        let first = self.unanswered.front();
        let first = first.map(|sent_at| (*sent_at).max(self.resumed_at));
        let late = first.filter(|sent_at| now.saturating_since(*sent_at) >= self.late_threshold());
        let phase = late.map_or(ContactPhase::Answering, |since| ContactPhase::Late {
            since,
        });
        let has_changed = phase.name() != self.phase.name();
        self.phase = phase;
        has_changed
    }

    /// Whether a ping should be sent now, behind the calls that have no answer: it tells a slow commit
    /// from a leader that is late. The owner sends it and reports it with [`Self::record_probe`].
    pub fn is_probe_due(&self, now: BootTime) -> bool {
        let is_waiting = self
            .unanswered
            .front()
            .is_some_and(|sent_at| now.saturating_since(*sent_at) >= PROBE_AGE);
        is_waiting && now.saturating_since(self.probed_at) >= PROBE_INTERVAL
    }

    /// Records that the ping was sent for which [`Self::is_probe_due`] asked.
    pub fn record_probe(&mut self, sent_at: BootTime) {
        self.probed_at = sent_at;
        self.record_sent(sent_at);
    }

    /// Time for which no leader has answered; zero while one answers in time.
    pub fn absence(&self, now: BootTime) -> Duration {
        match self.phase {
            ContactPhase::Answering => Duration::ZERO,
            ContactPhase::Late { since } | ContactPhase::Absent { since, .. } => {
                now.saturating_since(since)
            }
        }
    }

    /// Delay after which a refused caller should retry.
    pub fn retry_delay(&self, now: BootTime) -> Duration {
        (self.absence(now) / RETRY_DIVISOR).clamp(RETRY_DELAY_MIN, RETRY_DELAY_MAX)
    }

    /// Decides about a call without a reply.
    pub fn decide(&self, call: &CallFacts, now: BootTime) -> CallDecision {
        if now >= call.deadline {
            return call.give_up();
        }
        let held_for = now.saturating_since(call.arrived_at);
        let is_long_absence = self.absence(now) >= REFUSAL_AGE;
        let may_have_effect = call.may_have_effect();
        let gives_up = match self.phase {
            ContactPhase::Answering if call.is_sent => false,
            ContactPhase::Answering => return CallDecision::Send,
            // The session either answers or closes within a second.
            ContactPhase::Late { .. } if call.is_sent || may_have_effect => false,
            ContactPhase::Late { .. } => {
                is_long_absence || held_for >= call.share_of_wait(LATE_MAX_PERCENT)
            }
            ContactPhase::Absent { closed_at, .. } => {
                let waited = now.saturating_since(call.arrived_at.max(closed_at));
                let is_new_submission = call.kind == CallKind::Submission && !may_have_effect;
                let wait_max = if is_new_submission {
                    LEADERLESS_SUBMIT_WAIT_MAX
                } else {
                    LEADERLESS_WAIT_MAX
                };
                let share = call.share_of_wait(LEADERLESS_MAX_PERCENT);
                let is_overdue = waited >= wait_max.min(share);
                is_overdue || !may_have_effect && (is_long_absence || held_for >= share)
            }
        };
        if gives_up {
            call.give_up()
        } else {
            CallDecision::Hold
        }
    }
}
