//! Changes that a group watch finds between successive views of a replica.

use std::net::SocketAddr;

use guavavane_model::time::BootTime;
use guavavane_quorum::prelude::*;

fn voter(number: u16) -> ReplicaMember {
    ReplicaMember {
        id: ReplicaId(u64::from(number)),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        role: MemberRole::Voter,
    }
}

fn view(role: ReplicaRole, voters: u16, unavailable_voters: Vec<ReplicaId>) -> LeadershipView {
    LeadershipView {
        id: ReplicaId(1),
        role,
        term: Term(1),
        leader: None,
        lease_valid_until: Some(BootTime::from_millis(1)),
        led_since: Some(BootTime::from_millis(0)),
        commit: LogIndex(1),
        applied: LogIndex(1),
        last_index: LogIndex(1),
        last_snapshot: LogIndex(0),
        log_bytes: 0,
        members: (1..=voters).map(voter).collect(),
        needs_join: false,
        unavailable_voters,
        storage_failed: false,
    }
}

/// Guards against a voter that falls silent, or returns, without a report, or with one in each view.
#[test]
fn a_silent_voter_is_reported_once_and_its_return_too() {
    let mut watch = GroupWatch::default();
    let healthy = view(ReplicaRole::Leader, 3, Vec::new());
    let degraded = view(ReplicaRole::Leader, 3, vec![voter(2).id]);
    assert_eq!(watch.changes(&healthy), [GroupChange::Members]);
    assert_eq!(watch.changes(&healthy), []);
    let silent = GroupChange::VoterSilent(voter(2));
    assert_eq!(watch.changes(&degraded), [silent]);
    assert_eq!(watch.changes(&degraded), []);
    let heard = GroupChange::VoterHeard(voter(2));
    assert_eq!(watch.changes(&healthy), [heard]);
}

/// Guards against a voter that is reported as heard because the leader stepped down or removed it.
#[test]
fn a_lost_leadership_or_a_removal_is_no_answer_of_a_voter() {
    let mut watch = GroupWatch::default();
    let degraded = view(ReplicaRole::Leader, 3, vec![voter(3).id]);
    let follower = view(ReplicaRole::Follower, 3, Vec::new());
    let reduced = view(ReplicaRole::Leader, 2, Vec::new());
    watch.changes(&degraded);
    assert_eq!(watch.changes(&follower), []);
    let silent = GroupChange::VoterSilent(voter(3));
    assert_eq!(watch.changes(&degraded), [silent]);
    assert_eq!(watch.changes(&reduced), [GroupChange::Members]);
}

/// Guards against a group that counts on a silent voter: the next loss would end the quorum.
#[test]
fn an_unavailable_voter_is_no_spare() {
    let spare = |voters, unavailable| {
        let leader = view(ReplicaRole::Leader, voters, unavailable);
        leader.spare_voters()
    };
    assert_eq!(spare(3, Vec::new()), Some(1));
    assert_eq!(spare(3, vec![voter(2).id]), Some(0));
    assert_eq!(spare(5, vec![voter(2).id]), Some(1));
    assert_eq!(spare(1, Vec::new()), Some(0));
    let follower = view(ReplicaRole::Follower, 3, Vec::new());
    assert_eq!(follower.spare_voters(), None);
}

/// Guards against a replica that looks for a leader for good without a report.
#[test]
fn an_unknown_leader_is_reported_once() {
    let mut watch = GroupWatch::default();
    let unknown = view(ReplicaRole::PreCandidate, 0, Vec::new());
    let known = LeadershipView {
        leader: Some(voter(1)),
        ..view(ReplicaRole::Follower, 0, Vec::new())
    };
    assert_eq!(watch.changes(&unknown), []);
    assert_eq!(watch.changes(&known), [GroupChange::Leader(Some(voter(1)))]);
    assert_eq!(watch.changes(&known), []);
    assert_eq!(watch.changes(&unknown), [GroupChange::Leader(None)]);
    assert_eq!(watch.changes(&unknown), []);
}
