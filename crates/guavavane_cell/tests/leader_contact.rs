//! Decisions of an entry about its calls, replayed against leaders that are gone, late or handing over.
//!
//! Guards against an entry that answers 504 for a submission which it need not have sent, that refuses
//! one which the leader would have answered, and that claims of a sent one that it never runs.

#![allow(clippy::unwrap_used, reason = "a test may fail by unwrapping")]

use std::time::Duration;

use guavavane_cell::leader_contact::CallDecision;
use guavavane_cell::leader_contact::CallFacts;
use guavavane_cell::leader_contact::CallKind;
use guavavane_cell::leader_contact::LeaderContact;
use guavavane_model::prelude::BootTime;

/// Step of the replayed time.
const STEP_MS: u64 = 5;
/// Time between two submissions.
const CALL_INTERVAL_MS: u64 = 10;
/// Time for which a caller waits.
const CALLER_WAIT_MS: u64 = 3_000;
/// Time between two pings, and silence that ends a session, as in `leader_client`.
const PING_INTERVAL_MS: u64 = 300;
const SILENCE_MS: u64 = 1_000;
/// Time of the leader for a ping, and for a submission with its commit.
const PING_TIME_MS: u64 = 4;
const COMMIT_TIME_MS: u64 = 20;
/// Time at which the disturbance of a replay begins.
const BEGIN_MS: u64 = 2_000;
/// End of a replay.
const END_MS: u64 = 16_000;
/// Time after the start of an outage within which submissions may still be sent: the shortest time
/// after which a leader counts as late, and one step.
const UNNOTICED_MS: u64 = 100 + STEP_MS;
/// Absence from which submissions are refused at once, and one step.
const REFUSAL_MS: u64 = 1_600 + STEP_MS;

/// What a leader does, by the time at which something reaches it.
trait LeaderModel {
    /// Time at which the answer to a message arrives that is sent now; none if it never does.
    fn answer_at(&self, sent_ms: u64, work_ms: u64) -> Option<u64>;
    /// Whether a session is closed by the leader now.
    fn redirects(&self, _now_ms: u64) -> bool {
        false
    }
    /// Whether a session can be opened now.
    fn opens(&self, now_ms: u64) -> bool;
}

#[derive(Debug)]
struct ReplayedCall {
    facts: CallFacts,
    arrived_ms: u64,
    sent_ms: Vec<u64>,
    answer_ms: Option<u64>,
    ended: Option<(u64, CallEnd)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallEnd {
    Accepted,
    Refused { retry_ms: u64 },
    Unknown,
}

impl ReplayedCall {
    fn is_refused(&self) -> bool {
        matches!(self.ended, Some((_, CallEnd::Refused { .. })))
    }

    fn is(&self, end: CallEnd) -> bool {
        self.ended.is_some_and(|(_, ended)| ended == end)
    }
}

/// Replays submissions until `END_MS` against a leader, with the rules of the entry's loop.
fn replay(leader: &impl LeaderModel) -> Vec<ReplayedCall> {
    let at = BootTime::from_millis;
    let mut contact = LeaderContact::new(at(0));
    let mut calls: Vec<ReplayedCall> = Vec::new();
    let mut pings: Vec<(u64, Option<u64>)> = Vec::new();
    let mut is_open = false;
    let (mut heard_ms, mut next_ping_ms) = (0, 0);
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        if !is_open && leader.opens(now_ms) {
            contact.record_opened(now);
            is_open = true;
            (heard_ms, next_ping_ms) = (now_ms, now_ms + PING_INTERVAL_MS);
        }
        if is_open {
            for (sent_ms, _) in
                pings.extract_if(.., |(_, answer)| answer.is_some_and(|ms| ms <= now_ms))
            {
                contact.record_pong(at(sent_ms), now);
                heard_ms = now_ms;
            }
            for call in calls
                .iter_mut()
                .filter(|call| call.facts.is_sent && call.ended.is_none())
            {
                if call.answer_ms.is_some_and(|ms| ms <= now_ms) {
                    contact.record_reply(at(*call.sent_ms.last().unwrap()));
                    call.ended = Some((now_ms, CallEnd::Accepted));
                    heard_ms = now_ms;
                }
            }
            if leader.redirects(now_ms) || now_ms - heard_ms > SILENCE_MS {
                contact.record_closed(now);
                is_open = false;
                pings.clear();
                for call in calls.iter_mut().filter(|call| call.ended.is_none()) {
                    call.facts.was_sent_before |= call.facts.is_sent;
                    call.facts.is_sent = false;
                }
            }
        }
        if is_open && now_ms >= next_ping_ms {
            contact.record_sent(now);
            pings.push((now_ms, leader.answer_at(now_ms, PING_TIME_MS)));
            next_ping_ms = now_ms + PING_INTERVAL_MS;
        }
        if now_ms % CALL_INTERVAL_MS == 0 {
            calls.push(ReplayedCall {
                facts: CallFacts {
                    kind: CallKind::Submission,
                    arrived_at: now,
                    deadline: now + Duration::from_millis(CALLER_WAIT_MS),
                    is_sent: false,
                    was_sent_before: false,
                },
                arrived_ms: now_ms,
                sent_ms: Vec::new(),
                answer_ms: None,
                ended: None,
            });
        }
        contact.observe(now);
        for call in calls.iter_mut().filter(|call| call.ended.is_none()) {
            match contact.decide(&call.facts, now) {
                CallDecision::Hold => {}
                CallDecision::Send => {
                    assert!(is_open);
                    contact.record_sent(now);
                    call.facts.is_sent = true;
                    call.sent_ms.push(now_ms);
                    call.answer_ms = leader.answer_at(now_ms, COMMIT_TIME_MS);
                }
                CallDecision::Refuse => {
                    let retry_ms = contact.retry_delay(now).as_millis() as u64;
                    call.ended = Some((now_ms, CallEnd::Refused { retry_ms }));
                }
                CallDecision::Unknown => call.ended = Some((now_ms, CallEnd::Unknown)),
            }
        }
        if is_open && contact.is_probe_due(now) {
            contact.record_probe(now);
            pings.push((now_ms, leader.answer_at(now_ms, PING_TIME_MS)));
        }
    }
    // Calls of the last seconds have not ended.
    calls.retain(|call| call.arrived_ms + CALLER_WAIT_MS < END_MS);
    for call in &calls {
        assert!(call.ended.is_some(), "{call:?}");
        assert!(!call.is_refused() || call.sent_ms.is_empty(), "{call:?}");
    }
    calls
}

/// All control processes are unreachable from `BEGIN_MS` on, for `outage_ms`.
struct UnreachableControl {
    outage_ms: u64,
}

impl LeaderModel for UnreachableControl {
    fn answer_at(&self, sent_ms: u64, work_ms: u64) -> Option<u64> {
        (!self.is_unreachable(sent_ms) && !self.is_unreachable(sent_ms + work_ms))
            .then_some(sent_ms + work_ms)
    }

    fn opens(&self, now_ms: u64) -> bool {
        !self.is_unreachable(now_ms)
    }
}

impl UnreachableControl {
    fn is_unreachable(&self, now_ms: u64) -> bool {
        (BEGIN_MS..BEGIN_MS + self.outage_ms).contains(&now_ms)
    }
}

#[test]
fn submissions_during_an_outage_are_refused_as_not_sent() {
    let outage_ms = 9_500;
    let calls = replay(&UnreachableControl { outage_ms });
    let end_ms = BEGIN_MS + outage_ms;
    let unknown: Vec<_> = calls
        .iter()
        .filter(|call| call.is(CallEnd::Unknown))
        .collect();
    // What was sent just before the outage has no answer either.
    let first_ms = BEGIN_MS - COMMIT_TIME_MS;
    for call in &unknown {
        assert!(
            (first_ms..BEGIN_MS + UNNOTICED_MS).contains(&call.arrived_ms),
            "{call:?}"
        );
    }
    let mut refused = 0;
    let mut last_retry_ms = 0;
    for call in calls
        .iter()
        .filter(|call| call.arrived_ms >= BEGIN_MS + REFUSAL_MS)
    {
        let Some((ended_ms, CallEnd::Refused { retry_ms })) = call.ended else {
            assert!(call.arrived_ms >= end_ms - CALL_INTERVAL_MS, "{call:?}");
            assert!(call.is(CallEnd::Accepted), "{call:?}");
            continue;
        };
        assert_eq!(ended_ms, call.arrived_ms, "refused at once");
        assert!(retry_ms >= last_retry_ms, "the delay follows the absence");
        last_retry_ms = retry_ms;
        refused += 1;
    }
    assert!(refused > 700, "{refused}");
    assert!((2_000..=3_000).contains(&last_retry_ms), "{last_retry_ms}");
    // None waits longer than a caller can use.
    let longest = calls.iter().filter(|call| call.is_refused());
    let longest = longest
        .map(|call| call.ended.unwrap().0 - call.arrived_ms)
        .max();
    assert!(longest.unwrap() <= CALLER_WAIT_MS * 2 / 5, "{longest:?}");
}

/// The leader redirects at `BEGIN_MS`, and its successor is found after `gap_ms`.
struct HandOver {
    gap_ms: u64,
}

impl LeaderModel for HandOver {
    fn answer_at(&self, sent_ms: u64, work_ms: u64) -> Option<u64> {
        let is_lost = sent_ms < BEGIN_MS && sent_ms + work_ms >= BEGIN_MS;
        (!is_lost).then_some(sent_ms + work_ms)
    }

    fn redirects(&self, now_ms: u64) -> bool {
        now_ms == BEGIN_MS
    }

    fn opens(&self, now_ms: u64) -> bool {
        now_ms < BEGIN_MS || now_ms >= BEGIN_MS + self.gap_ms
    }
}

#[test]
fn a_hand_over_is_bridged_by_waiting() {
    for gap_ms in [100, 350, 600, 1_300] {
        let calls = replay(&HandOver { gap_ms });
        let within = calls
            .iter()
            .filter(|call| (BEGIN_MS..BEGIN_MS + gap_ms).contains(&call.arrived_ms));
        let (accepted, others): (Vec<_>, Vec<_>) =
            within.partition(|call| call.is(CallEnd::Accepted));
        let share = accepted.len() * 100 / (accepted.len() + others.len());
        // As before this part: a submission waits for 600 ms.
        let share_min = if gap_ms <= 600 { 100 } else { 45 };
        assert!(share >= share_min, "{share} % over {gap_ms} ms");
        // Only what the old leader has received, and only after the longest wait for the next one.
        let unknown = calls.iter().filter(|call| call.is(CallEnd::Unknown));
        for call in unknown {
            assert!(gap_ms == 1_300 && call.sent_ms[0] < BEGIN_MS, "{call:?}");
        }
    }
}

/// Answers come at most `late_ms` later than usual from `BEGIN_MS` on, in order.
struct LateLeader {
    late_ms: fn(u64) -> u64,
}

impl LeaderModel for LateLeader {
    fn answer_at(&self, sent_ms: u64, work_ms: u64) -> Option<u64> {
        // Something sent later is not answered earlier, as on one stream.
        let earliest = sent_ms.saturating_sub(SILENCE_MS);
        let answers = (earliest..=sent_ms).map(|ms| ms + (self.late_ms)(ms));
        Some(answers.max().unwrap() + work_ms)
    }

    fn opens(&self, _now_ms: u64) -> bool {
        true
    }
}

fn assert_all_accepted(calls: &[ReplayedCall], waited_max_ms: u64) {
    for call in calls {
        assert!(call.is(CallEnd::Accepted), "{call:?}");
        let waited_ms = call.ended.unwrap().0 - call.arrived_ms;
        assert!(waited_ms <= waited_max_ms, "{call:?}");
    }
}

#[test]
fn a_leader_that_answers_late_leads_to_no_refusals() {
    // Constantly late, from one moment to the next.
    let constant = |ms| if ms >= BEGIN_MS { 350 } else { 0 };
    assert_all_accepted(&replay(&LateLeader { late_ms: constant }), 900);
    // Stopped for 900 ms, four times.
    let stopped = |ms: u64| {
        let offset_ms = ms % 3_000;
        if offset_ms < 900 && ms > BEGIN_MS {
            900 - offset_ms
        } else {
            0
        }
    };
    assert_all_accepted(&replay(&LateLeader { late_ms: stopped }), 1_000);
}

#[test]
fn lost_packets_lead_to_no_refusals() {
    // Every tenth segment of 10 ms is lost and sent again after 220 ms, each fiftieth twice.
    let resent = |ms: u64| match ms / 10 % 50 {
        0 => 660,
        10 | 20 | 30 | 40 => 220,
        _ => 0,
    };
    assert_all_accepted(&replay(&LateLeader { late_ms: resent }), 1_400);
}

/// Commits take `commit_ms`; pings are answered at once.
struct SlowCommits {
    commit_ms: u64,
}

impl LeaderModel for SlowCommits {
    fn answer_at(&self, sent_ms: u64, work_ms: u64) -> Option<u64> {
        let is_commit = work_ms == COMMIT_TIME_MS;
        Some(sent_ms + if is_commit { self.commit_ms } else { work_ms })
    }

    fn opens(&self, _now_ms: u64) -> bool {
        true
    }
}

// Guards against submissions that are held back because commits take long: the leader answers pings.
#[test]
fn submissions_are_not_held_back_for_slow_commits() {
    let calls = replay(&SlowCommits { commit_ms: 450 });
    for call in &calls {
        assert_eq!(call.sent_ms, [call.arrived_ms], "{call:?}");
    }
}

// Guards against refusals for a pause of the entry itself, during which it reads no answers.
#[test]
fn a_pause_of_the_entry_counts_as_no_absence() {
    let at = BootTime::from_millis;
    let mut contact = LeaderContact::new(at(0));
    contact.record_opened(at(100));
    contact.record_sent(at(400));
    contact.observe(at(400));
    let resumed_at = at(3_400);
    contact.observe(resumed_at);
    let call = CallFacts {
        kind: CallKind::Submission,
        arrived_at: resumed_at,
        deadline: at(6_400),
        is_sent: false,
        was_sent_before: false,
    };
    assert_eq!(contact.decide(&call, resumed_at), CallDecision::Send);
    // Without an answer it counts from here.
    contact.observe(at(3_550));
    assert_eq!(contact.decide(&call, at(3_550)), CallDecision::Hold);
    contact.record_pong(at(400), at(3_555));
    contact.observe(at(3_555));
    assert_eq!(contact.decide(&call, at(3_555)), CallDecision::Send);
    // The pause is no sample of the answer time, which would raise the threshold to its maximum.
    assert_eq!(contact.late_threshold(), Duration::from_millis(100));
}

// Guards against refusals of callers with short waits for a leader that is late for a moment, and
// against waits that leave such a caller no time to retry once the leader is known to be gone.
#[test]
fn a_short_wait_is_used_for_a_late_leader_rather_than_for_none() {
    let at = BootTime::from_millis;
    let mut contact = LeaderContact::new(at(0));
    contact.record_opened(at(100));
    contact.record_sent(at(200));
    contact.observe(at(350));
    let call = CallFacts {
        kind: CallKind::Submission,
        arrived_at: at(350),
        deadline: at(850),
        is_sent: false,
        was_sent_before: false,
    };
    assert_eq!(contact.decide(&call, at(700)), CallDecision::Hold);
    assert_eq!(contact.decide(&call, at(730)), CallDecision::Refuse);
    contact.record_closed(at(600));
    assert_eq!(contact.decide(&call, at(600)), CallDecision::Refuse);
}

// Guards against a cancellation that was sent and is said not to have been carried out, and against
// queries, which have no effect, whose outcome is said to be unknown.
#[test]
fn only_what_may_have_an_effect_ends_as_unknown() {
    let at = BootTime::from_millis;
    let contact = LeaderContact::new(at(0));
    for (kind, decision) in [
        (CallKind::Submission, CallDecision::Unknown),
        (CallKind::Cancellation, CallDecision::Unknown),
        (CallKind::Query, CallDecision::Refuse),
    ] {
        let mut call = CallFacts {
            kind,
            arrived_at: at(0),
            deadline: at(3_000),
            is_sent: false,
            was_sent_before: true,
        };
        assert_eq!(contact.decide(&call, at(100)), CallDecision::Hold);
        assert_eq!(contact.decide(&call, at(3_000)), decision, "{kind:?}");
        call.was_sent_before = false;
        assert_eq!(contact.decide(&call, at(3_000)), CallDecision::Refuse);
    }
}
