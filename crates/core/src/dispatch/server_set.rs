//! Set of servers that a node can send to: additions, removals and samples.

use super::ring::ServerRing;
use super::server::ServerState;
use super::{is_preferred_worker, Dispatcher};
use crate::directory::ServerRecord;
use crate::identity::{stable_hash, NodeId};
use crate::software::SoftwareKey;
use std::collections::HashSet;
use std::sync::Arc;

/// Servers with the same software that accept new requests.
#[derive(Debug)]
pub(super) struct SoftwareRing {
    service: Arc<str>,
    ring: ServerRing,
}

/// Servers that a request may go to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidates<'a> {
    pub(super) service: &'a str,
    /// Only servers with this software, if one is named.
    pub(super) software: Option<SoftwareKey>,
}

impl Dispatcher {
    /// Replaces the set of servers that accept new requests. Other servers stay only while
    /// requests run there.
    pub fn set_ready<'a>(&mut self, ready: impl Iterator<Item = &'a ServerRecord>) {
        let ready: Vec<&ServerRecord> = ready.collect();
        let present: HashSet<&Arc<str>> = ready.iter().map(|record| &record.id).collect();
        let removed: Vec<Arc<str>> = self.servers.keys().filter(|id| !present.contains(id)).cloned().collect();
        removed.iter().for_each(|id| self.set_draining(id));
        ready.into_iter().for_each(|record| self.set_one_ready(record));
    }

    /// Adds or updates a server that accepts new requests.
    pub fn set_one_ready(&mut self, record: &ServerRecord) {
        self.servers_version += 1;
        let software = SoftwareKey::of(&record.service, &record.version);
        if let Some(former) = self.servers.get(&record.id).map(|server| server.software) {
            self.leave_software_ring(former, &record.id);
        }
        match self.servers.get_mut(&record.id) {
            Some(server) => server.update(record),
            None => {
                let mut server = ServerState::new(record);
                server.is_preferred = self
                    .deferrable_nodes
                    .as_ref()
                    .is_none_or(|(own, all)| is_preferred_worker(server.key, *own, all.iter().copied()));
                self.ids.insert(server.key, record.id.clone());
                self.servers.insert(record.id.clone(), server);
            }
        }
        let hash = stable_hash(record.id.as_bytes());
        self.rings.entry(record.service.clone()).or_default().insert(hash, &record.id);
        let of_software = self
            .software_rings
            .entry(software)
            .or_insert_with(|| SoftwareRing { service: record.service.clone(), ring: ServerRing::default() });
        of_software.ring.insert(hash, &record.id);
    }

    /// Stops new requests to a server, and removes it if no request runs there.
    pub fn set_draining(&mut self, id: &str) {
        let Some(server) = self.servers.get_mut(id) else { return };
        self.servers_version += 1;
        server.ready = false;
        let (service, hash, idle) = (server.service.clone(), server.id_hash, server.own() == 0);
        let software = server.software;
        if let Some(ring) = self.rings.get_mut(&service) {
            ring.remove(hash, id);
            if ring.len() == 0 {
                self.rings.remove(&service);
            }
        }
        self.leave_software_ring(software, id);
        if idle {
            self.forget(id);
        }
    }

    fn leave_software_ring(&mut self, software: SoftwareKey, id: &str) {
        let Some(of_software) = self.software_rings.get_mut(&software) else { return };
        of_software.ring.remove(stable_hash(id.as_bytes()), id);
        if of_software.ring.len() == 0 {
            self.software_rings.remove(&software);
        }
    }

    pub(super) fn forget(&mut self, id: &str) {
        let Some(server) = self.servers.remove(id) else { return };
        if self.ids.get(&server.key).is_some_and(|present| **present == *id) {
            self.ids.remove(&server.key);
        }
    }

    /// Records that this node and the nodes in `all`, which may include it, run deferrable
    /// work. Does nothing if that is unchanged.
    pub fn set_deferrable_nodes(&mut self, own: NodeId, all: Vec<NodeId>) {
        let deferrable_nodes = Some((own, all));
        if self.deferrable_nodes != deferrable_nodes {
            self.deferrable_nodes = deferrable_nodes;
            self.mark_preferred();
        }
    }

    fn mark_preferred(&mut self) {
        let Some((own, all)) = &self.deferrable_nodes else { return };
        for server in self.servers.values_mut() {
            server.is_preferred = is_preferred_worker(server.key, *own, all.iter().copied());
        }
    }

    /// Returns the number of servers of a service that accept new requests.
    pub fn ready_count(&self, service: &str) -> usize {
        self.rings.get(service).map_or(0, ServerRing::len)
    }

    /// Whether a server accepts new requests.
    pub fn is_ready(&self, server: &str) -> bool {
        self.servers.get(server).is_some_and(|state| state.ready)
    }

    /// Whether a server of this name accepts new requests at this address: a start of it, perhaps
    /// a later one than that of a request in progress.
    pub fn is_ready_at(&self, name: &str, address: &str) -> bool {
        let is_start = |state: &ServerState| *state.name == *name && *state.address == *address;
        self.servers.values().any(|state| state.ready && is_start(state))
    }

    /// Returns the identities and addresses of the servers of a service that accept new
    /// requests.
    pub fn ready_of(&self, service: &str) -> Vec<(Arc<str>, Arc<str>)> {
        self.of_service(service).map(|(id, server)| (id.clone(), server.address.clone())).collect()
    }

    pub(super) fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (&'a Arc<str>, &'a ServerState)> {
        let ring = self.rings.get(service).into_iter().flat_map(ServerRing::all);
        ring.filter_map(|id| Some((id, self.servers.get(id)?)))
    }

    /// Returns the service of a software that servers which accept new requests run.
    pub fn service_of(&self, software: SoftwareKey) -> Option<Arc<str>> {
        self.software_rings.get(&software).map(|of_software| of_software.service.clone())
    }

    /// Returns the software of the servers that accept new requests, each with the hash of its
    /// service.
    pub fn ready_software(&self) -> Vec<(u64, SoftwareKey)> {
        let of_service =
            |(software, ring): (&SoftwareKey, &SoftwareRing)| (stable_hash(ring.service.as_bytes()), *software);
        self.software_rings.iter().map(of_service).collect()
    }

    fn ring_of(&self, candidates: &Candidates<'_>) -> Option<&ServerRing> {
        match candidates.software {
            Some(software) => self.software_rings.get(&software).map(|of_software| &of_software.ring),
            None => self.rings.get(candidates.service),
        }
    }

    /// Whether there are more candidates than those of them in `avoid`.
    pub(super) fn has_others(&self, candidates: &Candidates<'_>, avoid: &[Arc<str>]) -> bool {
        let avoided = match candidates.software {
            None => avoid.len(),
            software => {
                avoid.iter().filter(|id| self.servers.get(*id).is_some_and(|state| state.runs(software))).count()
            }
        };
        self.ring_of(candidates).map_or(0, ServerRing::len) > avoided
    }

    /// Candidates to examine for a request.
    pub(super) fn sampled_servers<'a>(
        &'a self,
        candidates: &Candidates<'_>,
        key: Option<u64>,
        spread: u64,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a ServerState)> {
        let ring = self.ring_of(candidates).into_iter().flat_map(move |ring| ring.sampled_servers(key, spread));
        ring.filter_map(|id| Some((id, self.servers.get(id)?)))
    }

    /// Affinity server of a prompt prefix.
    pub(super) fn affinity_server(&self, service: &str, key: u64) -> Option<Arc<str>> {
        self.rings.get(service)?.affinity_server(key).cloned()
    }
}
