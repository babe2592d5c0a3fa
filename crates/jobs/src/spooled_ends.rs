//! Ends of jobs on a worker's disk while the record store is away.
//!
//! A node that can't end a job in the store in time owes the end to its caller, and may
//! itself end before the store answers. It hands the end to some workers, as it does with
//! a new job (`spool`); each of them keeps it until the store has it. To end a job a
//! second time does no harm. The caller's answer doesn't depend on the disks: an end
//! counts as acknowledged once the store has it.

use crate::asked_ends::is_settled;
use crate::drain_turns::DrainTurns;
use crate::ending::Ender;
use crate::spool::{log_not_drained, write_file};
use hyper::StatusCode;
use latchwheel_core::identity::stable_hash;
use latchwheel_core::pending_cancellations::MAX_PENDING_CANCELLATIONS;
use latchwheel_events::{emit, Event};
use latchwheel_records::RecordStore;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::sync::Mutex;

/// Path at which a worker takes ends.
pub(crate) const ENDS_PATH: &str = "/spooled-end";
/// Most bytes of an end: names of a job and of a tenant.
pub(crate) const END_LIMIT: usize = 16 << 10;
const FILE_ENDING: &str = "end";
/// Most ends on a disk: as many as a node owes at a time.
const MOST_KEPT: usize = MAX_PENDING_CANCELLATIONS;

/// An end as a node hands it to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HandedEnd {
    /// Job.
    pub(crate) job: String,
    /// Tenant of the caller.
    pub(crate) caller: Option<String>,
}

impl HandedEnd {
    /// Name of its file. Each caller's end has one of its own: whose the job is shows only
    /// in the store. The job's identity may hold signs that no file name may.
    fn file_name(&self) -> String {
        let caller = self.caller.as_deref().map_or(0, |caller| stable_hash(caller.as_bytes()).max(1));
        format!("{:016x}-{caller:016x}", stable_hash(self.job.as_bytes()))
    }
}

/// The ends in a folder.
#[derive(Debug)]
pub(crate) struct SpooledEnds<S> {
    store: Arc<S>,
    folder: PathBuf,
    ender: Ender,
    turns: Mutex<DrainTurns>,
}

impl<S: RecordStore> SpooledEnds<S> {
    /// Ends that are to be brought from this folder to the store.
    pub(crate) fn new(store: Arc<S>, folder: PathBuf) -> Self {
        Self { store, folder, ender: Ender::default(), turns: Mutex::default() }
    }

    /// Keeps an end so that it lasts.
    ///
    /// # Errors
    /// The status for the node that handed it over.
    pub(crate) async fn keep(&self, bytes: Vec<u8>) -> Result<(), StatusCode> {
        let end: HandedEnd = serde_json::from_slice(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
        let (folder, file_name) = (self.folder.clone(), end.file_name());
        let kept = tokio::task::spawn_blocking(move || keep_file(&folder, &file_name, &bytes)).await;
        let reason = match kept {
            Ok(Ok(Kept::Written)) => {
                emit(&end.job, &Event::EndSpooled { job: &end.job });
                return Ok(());
            }
            Ok(Ok(Kept::Present)) => return Ok(()),
            Ok(Ok(Kept::NoRoom)) => "too_many_ends".to_owned(),
            Ok(Err(fault)) => fault.to_string(),
            Err(fault) => fault.to_string(),
        };
        emit(&end.job, &Event::SpoolFailed { job: &end.job, reason: &reason });
        Err(StatusCode::INSUFFICIENT_STORAGE)
    }

    /// Brings ends to the store until some have failed; gives back how many are left, one
    /// at least if it can't be told. So many looks in a row left something.
    pub(crate) async fn drain(&self, most_failures: usize, looks: u32) -> usize {
        let folder = self.folder.clone();
        let found = tokio::task::spawn_blocking(move || read_ends(&folder)).await;
        let reason = match found {
            Ok(Ok(found)) => return self.drain_all(found, most_failures, looks).await,
            Ok(Err(fault)) => fault.to_string(),
            Err(fault) => fault.to_string(),
        };
        emit("", &Event::SpoolUnread { path: &self.folder.to_string_lossy(), reason: &reason });
        1
    }

    async fn drain_all(&self, found: Found, most_failures: usize, looks: u32) -> usize {
        let Found { mut ends, unread } = found;
        let mut turns = self.turns.lock().await;
        turns.order(&mut ends, |(end, _)| &end.job);
        let mut left = 0;
        for (end, path) in ends {
            if let Err(reason) = self.drain_one(&end, path).await {
                left += 1;
                log_not_drained(&end.job, &reason, looks);
            }
            turns.note_tried(end.job);
            if left >= most_failures {
                break;
            }
        }
        left + unread
    }

    /// Brings an end into the store; gives back why that failed.
    async fn drain_one(&self, end: &HandedEnd, path: PathBuf) -> Result<(), String> {
        let ended = self.ender.end_unanswered(&*self.store, &end.job, end.caller.as_deref()).await;
        if !is_settled(&ended) {
            return Err(format!("{:?}", ended.err()));
        }
        emit(&end.job, &Event::EndDrained { job: &end.job, found: ended.is_ok() });
        let removed = tokio::task::spawn_blocking(move || std::fs::remove_file(path)).await;
        removed.map_err(|fault| fault.to_string())?.map_err(|fault| fault.to_string())
    }
}

/// What became of an end that was handed over.
enum Kept {
    /// It is on the disk now.
    Written,
    /// It was there before.
    Present,
    /// The disk keeps no more ends.
    NoRoom,
}

fn keep_file(folder: &Path, file_name: &str, bytes: &[u8]) -> std::io::Result<Kept> {
    if folder.join(format!("{file_name}.{FILE_ENDING}")).exists() {
        return Ok(Kept::Present);
    }
    if end_files(folder)?.len() >= MOST_KEPT {
        return Ok(Kept::NoRoom);
    }
    write_file(folder, file_name, FILE_ENDING, bytes)?;
    Ok(Kept::Written)
}

/// Ends on a disk.
#[derive(Default)]
struct Found {
    ends: Vec<(HandedEnd, PathBuf)>,
    /// Files that could not be read this time.
    unread: usize,
}

/// All ends in the folder. One whose content is no end is left where it is, and logged.
fn read_ends(folder: &Path) -> std::io::Result<Found> {
    let mut found = Found::default();
    for path in end_files(folder)? {
        let fault = match std::fs::read(&path) {
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(end) => {
                    found.ends.push((end, path));
                    continue;
                }
                Err(fault) => fault.to_string(),
            },
            Err(fault) => {
                found.unread += 1;
                fault.to_string()
            }
        };
        emit("", &Event::SpoolUnread { path: &path.to_string_lossy(), reason: &fault });
    }
    Ok(found)
}

fn end_files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|ending| ending == FILE_ENDING) {
            files.push(path);
        }
    }
    Ok(files)
}
