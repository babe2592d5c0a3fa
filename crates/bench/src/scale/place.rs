//! Where nodes and servers are.

use latchwheel_core::identity::ServerId;
use latchwheel_core::ownership::OwnedServer;
use latchwheel_core::table::{Class, Limits, RetryPolicy, Row, Table};
use latchwheel_site::{Machine, MachineKind, MachineState};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Size of a system.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Servers.
    pub servers: usize,
    /// Regions.
    pub regions: usize,
    /// Zones, spread over the regions in turn.
    pub zones: usize,
    /// Tenants, each with one row and one key.
    pub tenants: usize,
    /// Seed.
    pub seed: u64,
}

/// A place, by numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Zone.
    pub zone: usize,
    /// Region of the zone.
    pub region: usize,
}

impl Place {
    /// Name of the zone.
    pub fn zone_name(&self) -> String {
        format!("zone-{}", self.zone)
    }

    /// Name of the region.
    pub fn region_name(&self) -> String {
        format!("region-{}", self.region)
    }
}

impl Plan {
    /// Place of a node: nodes are spread over the zones in turn.
    pub fn place(&self, number: usize) -> Place {
        let zone = number % self.zones;
        Place { zone, region: zone % self.regions }
    }

    /// Zones of a region.
    pub fn zones_of_region(&self, region: usize) -> Vec<usize> {
        (0..self.zones).filter(|zone| zone % self.regions == region).collect()
    }

    /// Servers by zone.
    pub fn servers(&self) -> BTreeMap<usize, Vec<OwnedServer>> {
        let mut servers: BTreeMap<usize, Vec<OwnedServer>> = BTreeMap::new();
        for number in 0..self.servers {
            let place = self.place(number);
            let server = ServerId::of_name(&format!("server-{number}"));
            let owned = OwnedServer { server, zone: place.zone_name(), region: place.region_name() };
            servers.entry(place.zone).or_default().push(owned);
        }
        servers
    }

    /// Bytes of one machine in the platform's list.
    pub fn machine_bytes(&self) -> u64 {
        let machine = Machine {
            name: "server-12345".into(),
            kind: MachineKind::Engine,
            address: "10.123.123.123:8000".into(),
            zone: "zone-12".into(),
            region: "region-3".into(),
            service: "service-1".into(),
            state: MachineState::Live,
        };
        serde_json::to_vec(&machine).map_or(0, |bytes| bytes.len() as u64 + 1)
    }

    /// The table with a row and a key for each tenant.
    pub fn table(&self) -> Table {
        let mut table = Table { revision: 1, ..Table::default() };
        for tenant in 0..self.tenants {
            let row = tenant_row(tenant, 1.0);
            table.rows.insert(row.name.clone(), Arc::new(row));
            table.keys.insert(format!("{tenant:064x}"), format!("tenant-{tenant}"));
        }
        table
    }
}

/// Row of a tenant.
pub fn tenant_row(tenant: usize, weight: f64) -> Row {
    Row {
        name: format!("tenant-{tenant}-row"),
        class: if tenant.is_multiple_of(4) { Class::Batch } else { Class::Online },
        weight,
        service: "service".into(),
        model: format!("model-{}", tenant % 4),
        limits: Limits { requests_per_second: 100.0, ..Limits::default() },
        retry: RetryPolicy::default(),
        deadline_milliseconds: 0,
        retention_seconds: 86_400,
    }
}
