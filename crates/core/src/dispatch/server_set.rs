//! Set of servers that a node can send to: additions, removals and samples.

use super::ring::ServerRing;
use super::server::ServerState;
use super::{is_preferred_worker, Dispatcher};
use crate::directory::ServerRecord;
use crate::identity::{stable_hash, NodeId};
use std::collections::HashSet;
use std::sync::Arc;

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
    }

    /// Stops new requests to a server, and removes it if no request runs there.
    pub fn set_draining(&mut self, id: &str) {
        let Some(server) = self.servers.get_mut(id) else { return };
        self.servers_version += 1;
        server.ready = false;
        let (service, hash, idle) = (server.service.clone(), server.id_hash, server.own() == 0);
        if let Some(ring) = self.rings.get_mut(&service) {
            ring.remove(hash, id);
            if ring.len() == 0 {
                self.rings.remove(&service);
            }
        }
        if idle {
            self.forget(id);
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

    /// Returns the identities and addresses of the servers of a service that accept new
    /// requests.
    pub fn ready_of(&self, service: &str) -> Vec<(Arc<str>, Arc<str>)> {
        self.of_service(service).map(|(id, server)| (id.clone(), server.address.clone())).collect()
    }

    pub(super) fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = (&'a Arc<str>, &'a ServerState)> {
        let ring = self.rings.get(service).into_iter().flat_map(ServerRing::all);
        ring.filter_map(|id| Some((id, self.servers.get(id)?)))
    }

    /// Servers of a service to examine for a request.
    pub(super) fn sampled_servers<'a>(
        &'a self,
        service: &str,
        key: Option<u64>,
        spread: u64,
    ) -> impl Iterator<Item = (&'a Arc<str>, &'a ServerState)> {
        let ring = self.rings.get(service).into_iter().flat_map(move |ring| ring.sampled_servers(key, spread));
        ring.filter_map(|id| Some((id, self.servers.get(id)?)))
    }

    /// Affinity server of a prompt prefix.
    pub(super) fn affinity_server(&self, service: &str, key: u64) -> Option<Arc<str>> {
        self.rings.get(service)?.affinity_server(key).cloned()
    }
}
