//! Single steps of the replication that random schedules rarely reach.

use latchwheel_core::code::ResultCode;
use latchwheel_core::replication::replacement::{first_members, next_members, GroupHealth};
use latchwheel_core::replication::{AckRule, Action, Event, HardState, LogBase, Replication, Restored, Role, Settings};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{
    Append, AppendAnswer, Entry, EntryKind, Members, Replica, ReplicationMessage, VoteAnswer, VoteRequest,
};
use std::collections::BTreeSet;
use std::time::Duration;

fn at(milliseconds: u64) -> Instant {
    Instant::from_micros(1_000_000 + milliseconds * 1000)
}

fn replica(number: u64, zone: &str) -> Replica {
    Replica { replica: number, node: number, zone: zone.into(), voter: true }
}

fn members(zones: &[&str]) -> Members {
    Members { replicas: zones.iter().enumerate().map(|(index, zone)| replica(index as u64 + 1, zone)).collect() }
}

fn restored(zones: &[&str], hard: HardState, terms: &[u64]) -> Restored {
    let entry = |(index, term): (usize, &u64)| Entry {
        term: *term,
        index: index as u64 + 1,
        kind: EntryKind::Command.into(),
        payload: vec![index as u8].into(),
    };
    Restored {
        hard,
        base: LogBase { members: members(zones), ..LogBase::default() },
        entries: terms.iter().enumerate().map(entry).collect(),
        applied: 0,
    }
}

fn settings(ack_rule: AckRule) -> Settings {
    Settings { election_timeout: Duration::from_millis(100), heartbeat: Duration::from_millis(20), ack_rule }
}

fn start(restored: Restored, ack_rule: AckRule) -> Replication {
    Replication::new(0, 1, settings(ack_rule), restored, at(0), 1)
}

fn message(from: u64, term: u64, body: Body) -> Event {
    Event::Received(ReplicationMessage { group: 0, from, to: 1, term, body: Some(body) })
}

fn persisted(core: &mut Replication, now: Instant, actions: &[Action]) -> Vec<Action> {
    let mut entries = actions.iter().rev().filter_map(|action| match action {
        Action::Persist(_, _, entries) => entries.last(),
        _ => None,
    });
    let Some(last) = entries.next() else { return Vec::new() };
    core.handle(now, Event::Persisted(last.term, last.index))
}

/// Makes replica 1 the leader with the votes of `voters`.
fn elect(core: &mut Replication, voters: &[u64]) -> (Instant, Vec<Action>) {
    let now = at(500);
    core.handle(now, Event::Tick);
    let term = core.term() + 1;
    for voter in voters {
        core.handle(now, message(*voter, term, Body::VoteAnswer(VoteAnswer { granted: true, probe: true })));
    }
    let mut actions = Vec::new();
    for voter in voters {
        let vote = Body::VoteAnswer(VoteAnswer { granted: true, probe: false });
        actions.extend(core.handle(now, message(*voter, term, vote)));
    }
    assert_eq!(core.role(), Role::Leader);
    (now, actions)
}

fn accepted(core: &mut Replication, now: Instant, from: u64, last_index: u64) -> Vec<Action> {
    let answer = AppendAnswer { accepted: true, last_index, round: 0 };
    let term = core.term();
    core.handle(now, message(from, term, Body::AppendAnswer(answer)))
}

fn acknowledged(actions: &[Action]) -> Option<u64> {
    actions.iter().rev().find_map(|action| match action {
        Action::Acknowledged(index) => Some(*index),
        _ => None,
    })
}

#[test]
fn a_vote_is_persisted_before_it_is_sent() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[]), AckRule::Quorum);
    let request = VoteRequest { last_index: 0, last_term: 0, probe: false, transfer: false };
    let actions = core.handle(at(500), message(2, 5, Body::VoteRequest(request)));
    let granted = |action: &Action| {
        let Action::Send(sent) = action else { return false };
        matches!(&sent.body, Some(Body::VoteAnswer(answer)) if answer.granted)
    };
    let persisted = HardState { term: 5, voted_for: 2 };
    let vote = actions.iter().position(granted).expect("the vote is granted");
    let before = actions[..vote].iter().any(|action| matches!(action, Action::Persist(hard, ..) if *hard == persisted));
    assert!(before, "{actions:?}");
}

#[test]
fn a_restarted_replica_does_not_vote_twice_in_a_term() {
    let voted = HardState { term: 5, voted_for: 2 };
    let mut core = start(restored(&["a", "b", "c"], voted, &[]), AckRule::Quorum);
    let request = VoteRequest { last_index: 9, last_term: 4, probe: false, transfer: false };
    let actions = core.handle(at(500), message(3, 5, Body::VoteRequest(request)));
    let refused = actions.iter().any(|action| {
        matches!(action, Action::Send(sent) if matches!(&sent.body, Some(Body::VoteAnswer(answer)) if !answer.granted))
    });
    assert!(refused);
}

#[test]
fn a_replica_with_a_shorter_log_gets_no_vote() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[1, 2]), AckRule::Quorum);
    let request = VoteRequest { last_index: 5, last_term: 1, probe: false, transfer: false };
    let actions = core.handle(at(500), message(2, 7, Body::VoteRequest(request)));
    let granted = actions.iter().any(|action| {
        matches!(action, Action::Send(sent) if matches!(&sent.body, Some(Body::VoteAnswer(answer)) if answer.granted))
    });
    assert!(!granted, "a higher last term outweighs a longer log");
}

/// Figure 8 of the Raft paper: an entry of an earlier term on a quorum may still
/// be replaced, and is committed only by an entry of the leader's own term.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let hard = HardState { term: 3, voted_for: 0 };
    let mut core = start(restored(&["a", "b", "c"], hard, &[1, 2]), AckRule::Quorum);
    let (now, actions) = elect(&mut core, &[2]);
    persisted(&mut core, now, &actions);
    accepted(&mut core, now, 2, 2);
    assert_eq!(core.commit_index(), 0, "entry 2 has term 2, the leader has term 4");
    accepted(&mut core, now, 2, 3);
    assert_eq!(core.commit_index(), 3);
}

#[test]
fn a_leader_counts_itself_only_once_its_disk_has_the_entry() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[]), AckRule::Quorum);
    let (now, actions) = elect(&mut core, &[2]);
    accepted(&mut core, now, 2, 1);
    assert_eq!(core.commit_index(), 0, "only one of three copies is on stable storage");
    persisted(&mut core, now, &actions);
    assert_eq!(core.commit_index(), 1);
}

#[test]
fn an_acknowledgement_needs_two_zones_but_a_commit_does_not() {
    let mut core = start(restored(&["a", "a", "b"], HardState::default(), &[]), AckRule::Quorum);
    let (now, actions) = elect(&mut core, &[2]);
    persisted(&mut core, now, &actions);
    let actions = accepted(&mut core, now, 2, 1);
    assert_eq!((core.commit_index(), acknowledged(&actions)), (1, None));
    let actions = accepted(&mut core, now, 3, 1);
    assert_eq!(acknowledged(&actions), Some(1));
}

#[test]
fn the_reachable_rule_waits_for_every_reachable_voter() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[]), AckRule::Reachable);
    let (now, actions) = elect(&mut core, &[2, 3]);
    persisted(&mut core, now, &actions);
    let actions = accepted(&mut core, now, 2, 1);
    assert_eq!((core.commit_index(), acknowledged(&actions)), (1, None), "replica 3 is reachable");
    let later = now + Duration::from_millis(150);
    let actions = accepted(&mut core, later, 2, 1);
    assert_eq!(acknowledged(&actions), Some(1), "replica 3 is no longer reachable");
}

#[test]
fn a_leader_without_a_quorum_stops_leading_and_rejects() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[]), AckRule::Quorum);
    let (now, _) = elect(&mut core, &[2]);
    let later = now + Duration::from_millis(400);
    let actions = core.handle(later, Event::Tick);
    assert!(actions.contains(&Action::Deposed));
    let actions = core.handle(later, Event::Propose(7, bytes::Bytes::new()));
    assert_eq!(actions, vec![Action::Rejected(7)]);
    assert_eq!(ResultCode::NotLeader.ran().as_str(), "not-run");
}

#[test]
fn a_read_waits_for_a_quorum_that_confirms_the_leader() {
    let mut core = start(restored(&["a", "b", "c"], HardState::default(), &[]), AckRule::Quorum);
    let (now, actions) = elect(&mut core, &[2]);
    let actions_early = core.handle(now, Event::Read(1));
    assert!(actions_early.contains(&Action::ReadRejected(1)), "no entry of the own term is committed yet");
    persisted(&mut core, now, &actions);
    accepted(&mut core, now, 2, 1);
    let actions = core.handle(now, Event::Read(2));
    assert!(!actions.iter().any(|action| matches!(action, Action::ReadReady(..))));
    let round = actions.iter().find_map(|action| match action {
        Action::Send(sent) => match &sent.body {
            Some(Body::Append(append)) => Some(append.round),
            _ => None,
        },
        _ => None,
    });
    let answer = AppendAnswer { accepted: true, last_index: 1, round: round.expect("a heartbeat is sent") };
    let term = core.term();
    let actions = core.handle(now, message(3, term, Body::AppendAnswer(answer)));
    assert!(actions.contains(&Action::ReadReady(2, 1)));
}

#[test]
fn a_follower_replaces_entries_that_differ() {
    let hard = HardState { term: 1, voted_for: 0 };
    let mut core = start(restored(&["a", "b", "c"], hard, &[1, 1, 1]), AckRule::Quorum);
    let entry = Entry { term: 2, index: 2, kind: EntryKind::Nothing.into(), payload: bytes::Bytes::new() };
    let append = Append { previous_index: 1, previous_term: 1, commit: 1, entries: vec![entry.clone()], round: 1 };
    let actions = core.handle(at(10), message(2, 2, Body::Append(append)));
    let replaced = actions
        .iter()
        .any(|action| matches!(action, Action::Persist(_, Some(2), entries) if *entries == vec![entry.clone()]));
    assert!(replaced, "{actions:?}");
}

#[test]
fn first_members_spread_over_zones() {
    let live = [replica(1, "a"), replica(2, "a"), replica(3, "b"), replica(4, "c")];
    let zones: BTreeSet<String> = first_members(&live, 3).replicas.into_iter().map(|replica| replica.zone).collect();
    assert_eq!(zones.len(), 3);
}

#[test]
fn a_lost_voter_is_removed_only_after_its_successor_votes() {
    let mut live = vec![replica(1, "a"), replica(2, "b"), replica(4, "c")];
    let lost = BTreeSet::from([3]);
    let mut current = members(&["a", "b", "c"]);
    let mut steps = Vec::new();
    for _ in 0..4 {
        let caught_up: Vec<u64> =
            current.replicas.iter().filter(|replica| !replica.voter).map(|replica| replica.replica).collect();
        let health = GroupHealth {
            members: &current,
            live: &live,
            lost: &lost,
            caught_up: &caught_up,
            target_voters: 3,
            leader: 1,
        };
        let Some(next) = next_members(health) else { break };
        let voters = next.replicas.iter().filter(|replica| replica.voter).count();
        steps.push((next.replicas.len(), voters));
        current = next;
    }
    assert_eq!(steps, vec![(4, 3), (4, 4), (3, 3)], "added as learner, promoted, then the lost voter is removed");
    assert!(!current.replicas.iter().any(|replica| replica.replica == 3));
    live.clear();
}

#[test]
fn two_voters_of_a_zone_are_spread_once_another_zone_has_a_replica() {
    let current = members(&["a", "a", "b"]);
    let live = [replica(1, "a"), replica(2, "a"), replica(3, "b"), replica(9, "c")];
    let health = GroupHealth {
        members: &current,
        live: &live,
        lost: &BTreeSet::new(),
        caught_up: &[],
        target_voters: 3,
        leader: 1,
    };
    let next = next_members(health).expect("a learner in zone c is added");
    assert!(next.replicas.iter().any(|replica| replica.replica == 9 && !replica.voter));
}
