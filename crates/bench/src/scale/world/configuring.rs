//! Configuration of hollow nodes: watches, pulls, and what is in force.

use super::Happening;
use super::{World, CALL_HEADER, PLATFORM_CALL, WATCH_RENEWAL};
use latchwheel_core::configuration;
use latchwheel_core::membership;
use latchwheel_core::scheduler::{Event as SchedulerEvent, RowShare};
use latchwheel_core::table::Table;
use latchwheel_protocol::v1::Summary;
use std::sync::Arc;

impl World {
    pub(super) fn configure(&mut self, number: usize, event: configuration::Event) {
        let begun = std::time::Instant::now();
        let before = self.nodes[number].configuration.table().clone();
        let actions = self.nodes[number].configuration.handle(event);
        self.nodes[number].cost.busy += begun.elapsed();
        for action in actions {
            match action {
                configuration::Action::Publish(table) => self.publish(number, &before, &table),
                configuration::Action::Pull(peer, after) => {
                    if let Some(to) = self.by_identity.get(&peer.0).copied() {
                        let cost = &mut self.nodes[number].cost;
                        cost.sent += CALL_HEADER;
                        cost.messages += 1;
                        if !self.is_cut(number, to) {
                            let delay = self.delay(number, to);
                            self.schedule(delay, Happening::PullRequest { from: number, to, after });
                        }
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn publish(&mut self, number: usize, before: &Table, table: &Arc<Table>) {
        let now = self.now;
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[number];
        for row in table.rows_changed_since(before) {
            let share = RowShare { weight: row.weight, concurrency: row.limits.concurrency, queue: row.limits.queue };
            node.scheduler.handle(now, SchedulerEvent::RowShare(row.name.as_str().into(), share));
        }
        let summary = Summary { node: node.record.node, revision: table.revision, ..Summary::default() };
        node.cost.busy += begun.elapsed();
        for trace in self.edits.iter_mut().rev().take_while(|trace| trace.revision > before.revision) {
            if trace.revision <= table.revision {
                trace.in_force.entry(number).or_insert(now);
            }
        }
        self.handle_membership(number, membership::Event::OwnSummary(summary));
    }

    pub(super) fn answer_pull(&mut self, from: usize, to: usize, after: u64) {
        if !self.nodes[to].alive {
            return;
        }
        let begun = std::time::Instant::now();
        let node = &mut self.nodes[to];
        let records = node.configuration.records_after(after);
        let table = records.is_none().then(|| node.configuration.table().clone());
        let records = records.unwrap_or_default();
        let coded: usize = records.iter().map(|record| serde_json::to_vec(&record.edit).map_or(0, |b| b.len())).sum();
        let snapshot = table.as_ref().map_or(0, |table| serde_json::to_vec(table.as_ref()).map_or(0, |b| b.len()));
        let bytes = (coded + snapshot) as u64 + CALL_HEADER;
        node.cost.busy += begun.elapsed();
        node.cost.sent += bytes;
        node.cost.messages += 1;
        let delay = self.delay(to, from);
        self.schedule(delay, Happening::PullAnswer { to: from, records, table, bytes });
    }

    pub(super) fn watch_fires(&mut self, number: usize) {
        if !self.nodes[number].alive || self.cut_platform.contains(&self.nodes[number].place.region) {
            return;
        }
        let present = self.nodes[number].configuration.table().revision;
        let records: Vec<configuration::Record> = (present..self.service.revision)
            .filter_map(|revision| {
                let offset = self.log.len().checked_sub((self.service.revision - revision) as usize)?;
                Some(configuration::Record { revision: revision + 1, edit: self.log[offset].clone() })
            })
            .collect();
        let coded: usize = records.iter().map(|record| serde_json::to_vec(&record.edit).map_or(0, |b| b.len())).sum();
        let cost = &mut self.nodes[number].cost;
        // The watch's answer, the read of the new keys, and the next watch.
        cost.received += coded as u64 + 2 * PLATFORM_CALL / 2;
        cost.sent += 2 * PLATFORM_CALL / 2;
        cost.messages += 4;
        self.configure(number, configuration::Event::Records(records));
    }

    /// Waiting calls of the platform end and are made again.
    pub(super) fn watch_renews(&mut self, number: usize, boot: u64) {
        if !self.nodes[number].alive || self.nodes[number].boot != boot {
            return;
        }
        let watches = 1 + u64::from(self.is_watcher(number));
        let cost = &mut self.nodes[number].cost;
        cost.sent += watches * PLATFORM_CALL / 2;
        cost.received += watches * PLATFORM_CALL / 2;
        cost.messages += 2 * watches;
        if self.is_watcher(number) && self.service.revision > self.nodes[number].configuration.table().revision {
            self.watch_fires(number);
        }
        self.schedule(WATCH_RENEWAL, Happening::WatchRenews(number, boot));
    }
}
