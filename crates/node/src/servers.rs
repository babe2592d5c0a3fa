//! Follows the machine list and the membership, and takes this node's share
//! of the servers.

use crate::members::{MemberView, Members};
use crate::owner::Owner;
use latchwheel_core::identity::{NodeId, ServerId};
use latchwheel_core::membership::Event as MembershipEvent;
use latchwheel_core::ownership::{assign, OwnedServer, OwnerCandidate};
use latchwheel_core::prefix::CacheEvent;
use latchwheel_core::scheduler::{Event, ServerProfile};
use latchwheel_engine::EngineClient;
use latchwheel_protocol::v1::MemberRecord;
use latchwheel_site::{Machine, MachineKind, MachineListClient, MachineState, RegionMachines};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Pause after a failed call of the machine list.
const LIST_PAUSE: Duration = Duration::from_secs(1);
/// A server's profile changes rarely and is read again after this time.
const PROFILE_INTERVAL: Duration = Duration::from_secs(30);
/// A server that did not answer is asked again after this time.
const PROFILE_RETRY: Duration = Duration::from_millis(500);
/// Cache events are read this often while requests are sent to the server.
const CACHE_INTERVAL: Duration = Duration::from_millis(500);

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
    next_profile: Instant,
    is_up: bool,
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
        let shown = watch::Sender::new(Arc::new(RegionMachines::default()));
        let mut changes = shown.subscribe();
        let list = tokio::spawn(follow_list(self.list.clone(), self.members.clone(), shown));
        let mut members = self.members.subscribe();
        loop {
            let machines = changes.borrow_and_update().clone();
            let view = members.borrow_and_update().clone();
            self.seed(&machines.machines);
            self.take_share(&machines.machines, &view).await;
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { break },
                changed = members.changed() => if changed.is_err() { break },
                () = tokio::time::sleep(PROFILE_RETRY) => {}
            }
        }
        list.abort();
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

    async fn take_share(&mut self, machines: &[Machine], view: &MemberView) {
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
            .filter(|machine| machine.kind == MachineKind::Engine)
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
        let due: Vec<(ServerId, Machine)> = engines
            .into_iter()
            .filter(|(server, machine)| mine(server) && self.is_due(*server, machine))
            .map(|(server, machine)| (server, machine.clone()))
            .collect();
        let reads = due.iter().map(|(_, machine)| self.engines.load(&machine.address));
        let loads = futures::future::join_all(reads).await;
        for ((server, machine), load) in due.into_iter().zip(loads) {
            let profile = load.map(|load| (!load.draining).then(|| profile_of(&machine, &load)));
            match profile {
                Ok(profile) => self.take_profile(server, machine, profile),
                Err(fault) => {
                    let known = self.owned.get(&server).is_some_and(|owned| owned.is_up);
                    if !known {
                        log::warn!(target: "E4002", "server {} does not answer: {fault}", machine.name);
                    }
                }
            }
        }
    }

    /// Whether the server's profile has to be read now. A server that the
    /// list shows as leaving is closed at once, without asking it.
    fn is_due(&mut self, server: ServerId, machine: &Machine) -> bool {
        if machine.state == MachineState::Leaving {
            self.owner.handle(Event::ServerLeaving(server));
            if let Some(owned) = self.owned.get_mut(&server) {
                owned.machine = machine.clone();
                owned.is_up = false;
            }
            return false;
        }
        match self.owned.get(&server) {
            Some(owned) => !owned.is_up || owned.machine != *machine || Instant::now() >= owned.next_profile,
            None => true,
        }
    }

    fn take_profile(&mut self, server: ServerId, machine: Machine, profile: Option<ServerProfile>) {
        let is_up = profile.is_some();
        match profile {
            Some(profile) => self.owner.server_up(server, &machine.address, profile),
            None => self.owner.handle(Event::ServerLeaving(server)),
        }
        let moved = self.owned.get(&server).is_none_or(|owned| owned.machine.address != machine.address);
        let next_profile = Instant::now() + PROFILE_INTERVAL;
        if moved {
            let follow = follow_cache(self.engines.clone(), self.owner.clone(), server, machine.address.clone());
            let cache_task = self.cache_aware.then(|| tokio::spawn(follow));
            self.owned.insert(server, OwnedState { machine, next_profile, is_up, cache_task });
        } else if let Some(owned) = self.owned.get_mut(&server) {
            owned.machine = machine;
            owned.next_profile = next_profile;
            owned.is_up = is_up;
        }
    }
}

fn profile_of(machine: &Machine, load: &latchwheel_engine::LoadReport) -> ServerProfile {
    ServerProfile {
        name: machine.name.as_str().into(),
        service: machine.service.as_str().into(),
        models: load.models.iter().map(|model| model.as_str().into()).collect(),
        slots: load.slots,
        token_capacity: load.token_capacity,
    }
}

/// Follows the list: the region's nodes, the engines of the own zone, and
/// those of zones without a live node.
async fn follow_list(list: MachineListClient, members: Arc<Members>, shown: watch::Sender<Arc<RegionMachines>>) {
    let mut changes = members.subscribe();
    let mut known = None;
    let mut asked = Vec::new();
    loop {
        let view = changes.borrow_and_update().clone();
        let zones = wanted_zones(&view, &shown.borrow().zones);
        if zones != asked {
            known = None;
            asked = zones;
        }
        let answer = tokio::select! {
            answer = list.machines(&view.me.region, &asked, known) => answer,
            _ = changes.changed() => continue,
        };
        match answer {
            Ok(Some(machines)) => {
                known = Some(machines.version);
                shown.send_replace(Arc::new(machines));
            }
            Ok(None) => {}
            Err(fault) => {
                log::warn!(target: "E4001", "the machine list does not answer: {fault}");
                tokio::time::sleep(LIST_PAUSE).await;
            }
        }
    }
}

fn wanted_zones(view: &MemberView, region_zones: &[String]) -> Vec<String> {
    let with_node: BTreeSet<&str> = view.live_in_region().map(|record| record.zone.as_str()).collect();
    let without = region_zones.iter().filter(|zone| !with_node.contains(zone.as_str()));
    let mut zones: BTreeSet<String> = without.cloned().collect();
    zones.insert(view.me.zone.clone());
    zones.into_iter().collect()
}

/// Corrects the prefix index of a server by its events; a gap leads to a
/// whole resync. Nothing is asked while no request is sent to the server.
async fn follow_cache(engines: EngineClient, owner: Owner, server: ServerId, address: String) {
    let mut next = 0;
    let mut stale = true;
    let mut seen = u64::MAX;
    loop {
        let starts = owner.starts_of(server);
        if starts != seen {
            seen = starts;
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
        }
        tokio::time::sleep(CACHE_INTERVAL).await;
    }
}
