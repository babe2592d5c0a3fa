//! A short disk stall must not cause an election, even if it blocks the threads of all replicas of
//! a group at once.

use latchwheel_core::replication::{
    keep_alive_limit, AckRule, Action, Event, HardState, LogBase, Replication, Restored, Role, Settings,
};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::replication_message::Body;
use latchwheel_protocol::v1::{Members, Replica, ReplicationMessage};
use std::collections::BTreeMap;
use std::time::Duration;

const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);
const HEARTBEAT: Duration = Duration::from_millis(100);

fn settings() -> Settings {
    Settings { election_timeout: ELECTION_TIMEOUT, heartbeat: HEARTBEAT, ack_rule: AckRule::Quorum }
}

/// Three replicas with instant message delivery and writes.
struct Group {
    replicas: BTreeMap<u64, Replication>,
    /// Last answer of each replica.
    answers: BTreeMap<u64, ReplicationMessage>,
    now: Instant,
}

impl Group {
    fn new() -> Self {
        let zones = ["a", "b", "c"];
        let replica =
            |(zone, number): (&&str, u64)| Replica { replica: number, node: number, zone: (*zone).into(), voter: true };
        let members = Members { replicas: zones.iter().zip(1..).map(replica).collect() };
        let now = Instant::from_micros(1_000_000);
        let start = |number: u64| {
            let base = LogBase { members: members.clone(), ..LogBase::default() };
            let restored = Restored { hard: HardState::default(), base, entries: Vec::new(), applied: 0 };
            (number, Replication::new(0, number, settings(), restored, now, number))
        };
        Self { replicas: (1..=3).map(start).collect(), answers: BTreeMap::new(), now }
    }

    /// Advances the time, and ticks the replicas whose threads don't wait for a disk.
    fn tick(&mut self, running: &[u64], time: Duration) {
        self.now = self.now + time;
        for number in running {
            let actions = self.replicas.get_mut(number).map(|replica| replica.handle(self.now, Event::Tick));
            self.perform(*number, actions.unwrap_or_default());
        }
    }

    fn perform(&mut self, number: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Persist(_, _, entries) => {
                    let Some(last) = entries.last() else { continue };
                    let event = Event::Persisted(last.term, last.index);
                    let next = self.replicas.get_mut(&number).map(|replica| replica.handle(self.now, event));
                    self.perform(number, next.unwrap_or_default());
                }
                Action::Send(message) => self.deliver(message),
                _ => {}
            }
        }
    }

    fn deliver(&mut self, message: ReplicationMessage) {
        if matches!(message.body, Some(Body::AppendAnswer(_))) {
            self.answers.insert(message.from, message.clone());
        }
        let to = message.to;
        let actions = self.replicas.get_mut(&to).map(|replica| replica.handle(self.now, Event::Received(message)));
        self.perform(to, actions.unwrap_or_default());
    }

    fn elect(&mut self) -> u64 {
        while self.leader().is_none() {
            self.tick(&[1, 2, 3], HEARTBEAT / 5);
        }
        self.tick(&[1, 2, 3], HEARTBEAT);
        self.leader().expect("a leader was elected")
    }

    fn leader(&self) -> Option<u64> {
        self.replicas.iter().find(|(_, replica)| replica.role() == Role::Leader).map(|(number, _)| *number)
    }

    fn others(&self, of: u64) -> Vec<u64> {
        self.replicas.keys().copied().filter(|number| *number != of).collect()
    }
}

#[test]
fn a_leader_whose_disk_stalls_keeps_its_followers() {
    let mut group = Group::new();
    let leader = group.elect();
    let term = group.replicas[&leader].term();
    let repeated = group.replicas[&leader].heartbeats_to_repeat();
    assert_eq!(repeated.len(), 2, "one for each follower");
    let followers = group.others(leader);
    let mut stalled = Duration::ZERO;
    while stalled < keep_alive_limit(ELECTION_TIMEOUT) {
        group.tick(&followers, HEARTBEAT);
        stalled += HEARTBEAT;
        // The leader's thread waits for the disk, so it processes no answers.
        for message in &repeated {
            let to = message.to;
            let event = Event::Received(message.clone());
            let now = group.now;
            let actions = group.replicas.get_mut(&to).map(|replica| replica.handle(now, event)).unwrap_or_default();
            let refuses = |action: &Action| matches!(action, Action::Send(answer) if matches!(&answer.body, Some(Body::AppendAnswer(answer)) if !answer.accepted));
            assert!(!actions.iter().any(refuses), "a follower that has the log accepts it");
        }
    }
    for follower in followers {
        assert_eq!(group.replicas[&follower].role(), Role::Follower);
        assert_eq!(group.replicas[&follower].term(), term);
    }
}

#[test]
fn followers_elect_a_leader_without_repeated_heartbeats() {
    let mut group = Group::new();
    let leader = group.elect();
    let followers = group.others(leader);
    let mut stalled = Duration::ZERO;
    while stalled < keep_alive_limit(ELECTION_TIMEOUT) {
        group.tick(&followers, HEARTBEAT);
        stalled += HEARTBEAT;
    }
    assert!(followers.iter().any(|follower| group.replicas[follower].role() != Role::Follower));
}

#[test]
fn a_leader_whose_followers_stall_too_stays_leader() {
    let mut group = Group::new();
    let leader = group.elect();
    let term = group.replicas[&leader].term();
    let answers: Vec<ReplicationMessage> = group.answers.values().cloned().collect();
    assert_eq!(answers.len(), 2, "both followers have answered");
    // All threads wait for the disk while the followers' last answers are repeated. The leader's
    // thread processes these answers before its next tick.
    group.now = group.now + ELECTION_TIMEOUT * 4;
    answers.into_iter().for_each(|answer| group.deliver(answer));
    group.tick(&[leader], Duration::from_millis(1));
    assert_eq!(group.replicas[&leader].role(), Role::Leader);
    assert_eq!(group.replicas[&leader].term(), term);
}

#[test]
fn a_follower_repeats_no_heartbeats() {
    let mut group = Group::new();
    let leader = group.elect();
    for follower in group.others(leader) {
        assert!(group.replicas[&follower].heartbeats_to_repeat().is_empty());
    }
}
