//! Looks at the state, once a quorum has confirmed the leader.

use super::runner::{no_disk, Runner};
use super::{Look, LookAt};
use crate::disk::DiskFault;
use latchwheel_protocol::v1::JobRecord;

impl Runner {
    pub(super) fn serve_looks(&mut self) -> Result<(), DiskFault> {
        let applied = self.core.applied_index();
        let ready: Vec<u64> = self
            .looks
            .iter()
            .filter(|(_, look)| look.index.is_some_and(|index| index <= applied))
            .map(|(identity, _)| *identity)
            .collect();
        for identity in ready {
            let Some(look) = self.looks.remove(&identity) else { continue };
            let answer = self.look(&look.at)?;
            let _ = look.reply.send(Ok(answer));
        }
        self.looks.retain(|_, look| !look.reply.is_closed());
        Ok(())
    }

    pub(super) fn look(&self, at: &LookAt) -> Result<Look, DiskFault> {
        let job = at.job.as_ref().and_then(|job| self.state.job(job)).map(|job| job.record.clone());
        let mut jobs: Vec<JobRecord> = job.into_iter().collect();
        if let Some((tenant, after, most)) = &at.jobs_of {
            let of_tenant = |record: &&JobRecord| record.tenant == *tenant && record.job > *after;
            let records = self.state.jobs().map(|job| &job.record);
            jobs.extend(records.filter(of_tenant).take(*most).cloned());
        }
        Ok(Look {
            jobs,
            file: at.file.as_ref().and_then(|file| self.state.file(file)).cloned(),
            request: at.request.as_ref().and_then(|key| self.state.request(key)).cloned(),
            view: self.disk.as_ref().ok_or_else(no_disk)?.view()?,
        })
    }
}
