//! Selection of the workers whose heartbeats a node receives, with few and with many workers.

use latchwheel_core::dispatch::sends_heartbeat;
use latchwheel_core::identity::NodeId;

fn ids(kind: &str, count: usize) -> Vec<NodeId> {
    (0..count).map(|number| NodeId::of_name(&format!("{kind}-{number}"))).collect()
}

#[test]
fn all_nodes_receive_heartbeats_of_few_workers() {
    let nodes = ids("front", 90);
    for count in 1..=24 {
        let workers = ids("worker", count);
        assert!(workers.iter().all(|worker| nodes.iter().all(|node| sends_heartbeat(*worker, count, *node))));
    }
}

/// The heartbeats that a node receives and a worker sends must not grow with the number of
/// workers.
#[test]
fn heartbeats_per_node_do_not_grow_with_the_cluster() {
    for doublings in 0..3 {
        let (workers, nodes) = (ids("worker", 150 << doublings), ids("front", 836 << doublings));
        let received =
            |node: &NodeId| workers.iter().filter(|worker| sends_heartbeat(**worker, workers.len(), *node)).count();
        let sent =
            |worker: &NodeId| nodes.iter().filter(|node| sends_heartbeat(*worker, workers.len(), **node)).count();
        let (least, most) = (nodes.iter().map(received).min().unwrap(), nodes.iter().map(received).max().unwrap());
        assert!(least >= 4 && most <= 50, "{} workers: received {least} to {most}", workers.len());
        let busiest = workers.iter().map(sent).max().unwrap();
        assert!(busiest <= 200, "{} workers: {busiest} heartbeats", workers.len());
    }
}
