//! The whole state from another replica, for one whose log is too far behind.

use super::runner::{no_disk, Runner};
use super::{Request, Transport};
use crate::disk::{base_of_message, DiskFault, GroupDisk};
use latchwheel_core::code::ResultCode;
use latchwheel_core::replication::{Action, Event, HardState};
use latchwheel_core::time::Instant;
use latchwheel_protocol::v1::StatePull;
use std::path::PathBuf;
use std::sync::Arc;

impl Runner {
    pub(super) fn start_pull(&self, from: u64) {
        log::info!(target: "E6103", "store group {}: pulls the whole state", self.group);
        let path = self.folder.incoming_path(self.group);
        let (group, transport, requests) = (self.group, self.transport.clone(), self.requests.clone());
        self.runtime.spawn(async move {
            let installed = pull_state(group, from, path, transport).await;
            let _ = requests.send(Request::Installed(installed));
        });
    }

    /// Puts the pulled database in the place of the own one. The hard state
    /// goes over first: a vote must not be forgotten.
    pub(super) fn install(
        &mut self,
        now: Instant,
        path: &std::path::Path,
        actions: &mut Vec<Action>,
    ) -> Result<(), DiskFault> {
        let own = self.disk.as_ref().ok_or_else(no_disk)?.restore()?;
        let incoming = GroupDisk::open(path)?;
        let base = incoming.view()?.base()?;
        incoming.write_base(own.hard, &base)?;
        drop(incoming);
        self.disk = None;
        let target = self.folder.group_path(self.group);
        std::fs::rename(path, &target)?;
        let disk = GroupDisk::open(&target)?;
        self.state = disk.load_state()?;
        self.disk = Some(disk);
        actions.extend(self.core.handle(now, Event::StateInstalled(base)));
        Ok(())
    }
}

/// Pulls the whole state page by page into a new database.
async fn pull_state(group: u64, from: u64, path: PathBuf, transport: Arc<dyn Transport>) -> Option<PathBuf> {
    let session = rand::random();
    let mut pull = StatePull { group, session, first: true, ..StatePull::default() };
    let _ = std::fs::remove_file(&path);
    let disk = Arc::new(GroupDisk::open(&path).ok()?);
    loop {
        let page = transport.pull(from, pull.clone()).await?;
        if page.code != ResultCode::Done.number() {
            return None;
        }
        if page.last {
            let base = base_of_message(page.base?);
            disk.write_base(HardState::default(), &base).ok()?;
            return Some(path);
        }
        let end = page.records.last()?;
        pull.after_table = end.table;
        pull.after_key = end.key.clone();
        pull.first = false;
        let writer = disk.clone();
        let written = tokio::task::spawn_blocking(move || writer.write_records(&page.records)).await;
        written.ok()?.ok()?;
    }
}
