//! Machines and ownership of hollow nodes.

use super::{World, PLATFORM_CALL};
use crate::scale::place::Place;
use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::membership;
use latchwheel_core::ownership::{assign, OwnedServer, OwnerCandidate};
use latchwheel_core::scheduler::{Event as SchedulerEvent, ServerProfile};
use latchwheel_protocol::v1::MemberRecord;
use std::collections::BTreeSet;

impl World {
    pub(super) fn show_list(&mut self, number: usize) {
        if !self.nodes[number].alive || self.cut_platform.contains(&self.nodes[number].place.region) {
            return;
        }
        let place = self.nodes[number].place;
        let nodes: Vec<MemberRecord> = self
            .nodes
            .iter()
            .filter(|node| node.alive && node.place.region == place.region)
            .map(|node| node.record.clone())
            .collect();
        let servers = self.servers.get(&place.zone).map_or(0, Vec::len);
        let cost = &mut self.nodes[number].cost;
        cost.received += (nodes.len() + servers) as u64 * self.machine_bytes + PLATFORM_CALL / 2;
        cost.sent += PLATFORM_CALL / 2;
        cost.messages += 2;
        // Relays need somebody of each other region to begin with.
        let far = self.nodes.iter().filter(|node| node.alive && node.place.region != place.region);
        let far: Vec<MemberRecord> = far.step_by(17).map(|node| node.record.clone()).collect();
        self.handle_membership(number, membership::Event::Seeds(nodes));
        self.handle_membership(number, membership::Event::Seeds(far));
        self.take_share(number);
    }

    pub(super) fn take_share(&mut self, number: usize) {
        if !self.nodes[number].alive {
            return;
        }
        let now = self.now;
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[number];
        node.stale_ownership = false;
        let region = &node.record.region;
        let live = node.membership.live().filter(|record| record.region == *region);
        let candidates: Vec<OwnerCandidate> = live
            .chain([node.membership.me()])
            .map(|record| OwnerCandidate {
                node: NodeId(record.node),
                zone: record.zone.clone(),
                region: record.region.clone(),
            })
            .collect();
        let own_zone = node.place.zone;
        let covered: BTreeSet<&str> = candidates.iter().map(|candidate| candidate.zone.as_str()).collect();
        let wanted = self.plan.zones_of_region(node.place.region).into_iter().filter(|zone| {
            *zone == own_zone || !covered.contains(Place { zone: *zone, ..node.place }.zone_name().as_str())
        });
        let servers: Vec<OwnedServer> = wanted.filter_map(|zone| self.servers.get(&zone)).flatten().cloned().collect();
        let owners = assign(&candidates, &servers);
        let me = NodeId(node.record.node);
        let mine: BTreeSet<ServerId> =
            owners.into_iter().filter(|(_, owner)| *owner == me).map(|(server, _)| server).collect();
        for server in node.owned.difference(&mine) {
            node.scheduler.handle(now, SchedulerEvent::ServerGone(*server));
        }
        for server in mine.difference(&node.owned) {
            let profile = ServerProfile {
                name: format!("{:x}", server.0).into(),
                service: "service".into(),
                models: vec!["model".into()],
                slots: 32,
                token_capacity: 200_000,
            };
            node.scheduler.handle(now, SchedulerEvent::ServerUp(*server, profile));
        }
        node.owned = mine;
        node.cost.busy += begun.elapsed();
    }
}
