//! Follows the machine list and the membership, and takes this node's share
//! of the servers.

use crate::members::Members;
use crate::owner::Owner;
use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::membership::Event as MembershipEvent;
use latchwheel_core::ownership::{assign, OwnedServer, OwnerCandidate};
use latchwheel_core::prefix::CacheEvent;
use latchwheel_core::scheduler::{Event, ServerProfile};
use latchwheel_engine::EngineClient;
use latchwheel_platform::{Machine, MachineKind, MachineListClient, MachineState};
use latchwheel_protocol::v1::MemberRecord;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
const CACHE_INTERVAL: Duration = Duration::from_millis(250);

/// Follows machines and servers.
#[derive(Debug)]
pub(crate) struct Servers {
    list: MachineListClient,
    engines: EngineClient,
    members: Arc<Members>,
    owner: Owner,
    cache_aware: bool,
    owned: BTreeMap<ServerId, OwnedState>,
}

#[derive(Debug)]
struct OwnedState {
    machine: Machine,
    cache_task: Option<tokio::task::JoinHandle<()>>,
}

impl Drop for OwnedState {
    fn drop(&mut self) {
        if let Some(task) = &self.cache_task {
            task.abort();
        }
    }
}

impl Servers {
    pub(crate) fn new(
        list: MachineListClient,
        engines: EngineClient,
        members: Arc<Members>,
        owner: Owner,
        cache_aware: bool,
    ) -> Self {
        Self { list, engines, members, owner, cache_aware, owned: BTreeMap::new() }
    }

    /// Follows for ever. While the list is away, the last one stands.
    pub(crate) async fn run(mut self) {
        let mut changes = self.members.subscribe();
        let mut machines = Vec::new();
        loop {
            match self.list.machines().await {
                Ok(present) => machines = present,
                Err(fault) => log::warn!(target: "E4001", "the machine list does not answer: {fault}"),
            }
            self.seed(&machines);
            self.take_share(&machines).await;
            let _ = tokio::time::timeout(FOLLOW_INTERVAL, changes.changed()).await;
        }
    }

    fn seed(&self, machines: &[Machine]) {
        let seeds = machines
            .iter()
            .filter(|machine| machine.kind == MachineKind::Node && machine.state == MachineState::Live)
            .map(|machine| MemberRecord {
                node: NodeId::of_name(&machine.name).0,
                address: machine.address.clone(),
                zone: machine.zone.clone(),
                region: machine.region.clone(),
                name: machine.name.clone(),
                ..MemberRecord::default()
            })
            .collect();
        self.members.handle(MembershipEvent::Seeds(seeds));
    }

    async fn take_share(&mut self, machines: &[Machine]) {
        let view = self.members.view();
        let candidates: Vec<OwnerCandidate> = view
            .live_in_region()
            .map(|record| OwnerCandidate {
                node: NodeId(record.node),
                zone: record.zone.clone(),
                region: record.region.clone(),
            })
            .collect();
        let engines: BTreeMap<ServerId, &Machine> = machines
            .iter()
            .filter(|machine| machine.kind == MachineKind::Engine && machine.region == view.me.region)
            .map(|machine| (ServerId::of_name(&machine.name), machine))
            .collect();
        let servers: Vec<OwnedServer> = engines
            .iter()
            .map(|(server, machine)| OwnedServer {
                server: *server,
                zone: machine.zone.clone(),
                region: machine.region.clone(),
            })
            .collect();
        let owners = assign(&candidates, &servers);
        let mine = |server: &ServerId| owners.get(server) == Some(&NodeId(view.me.node));
        let lost: Vec<ServerId> = self.owned.keys().filter(|server| !mine(server)).copied().collect();
        for server in lost {
            self.owned.remove(&server);
            self.owner.handle(Event::ServerGone(server));
        }
        for (server, machine) in engines.into_iter().filter(|(server, _)| mine(server)) {
            self.follow_server(server, machine).await;
        }
    }

    async fn follow_server(&mut self, server: ServerId, machine: &Machine) {
        if machine.state == MachineState::Leaving {
            self.owner.handle(Event::ServerLeaving(server));
            return;
        }
        let moved = self.owned.get(&server).is_none_or(|owned| owned.machine.address != machine.address);
        let Ok(load) = self.engines.load(&machine.address).await else { return };
        if load.draining {
            self.owner.handle(Event::ServerLeaving(server));
            return;
        }
        let profile = ServerProfile {
            name: machine.name.as_str().into(),
            service: machine.service.as_str().into(),
            models: load.models.iter().map(|model| model.as_str().into()).collect(),
            slots: load.slots,
            token_capacity: load.token_capacity,
        };
        self.owner.server_up(server, &machine.address, profile);
        if moved {
            let follow = follow_cache(self.engines.clone(), self.owner.clone(), server, machine.address.clone());
            let cache_task = self.cache_aware.then(|| tokio::spawn(follow));
            self.owned.insert(server, OwnedState { machine: machine.clone(), cache_task });
        }
    }
}

/// Corrects the prefix index of a server by its events; a gap leads to a
/// whole resync.
async fn follow_cache(engines: EngineClient, owner: Owner, server: ServerId, address: String) {
    let mut next = 0;
    let mut stale = true;
    loop {
        if stale {
            if let Ok(whole) = engines.cached_blocks(&address).await {
                owner.resync_cache(server, whole.next, &whole.blocks);
                next = whole.next;
                stale = false;
            }
        }
        if let Ok(answer) = engines.cache_events(&address, next).await {
            for line in answer.events {
                next = line.sequence + 1;
                let event = CacheEvent { sequence: line.sequence, stored: line.stored, evicted: line.evicted };
                stale |= owner.note_cache_event(server, &event);
            }
        }
        tokio::time::sleep(CACHE_INTERVAL).await;
    }
}
