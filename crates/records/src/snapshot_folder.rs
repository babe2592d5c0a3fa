//! Records on a disk, kept for the next start.
//!
//! Each prefix has a file of its own: a checksum of eight bytes, then a
//! [`v1::StartSnapshot`]. It is written to another name, synced and renamed, so that it is
//! there whole or as it was before. A file that is not whole, or of another deployment, is
//! passed over. The records may name keys of callers: only the owner may read the files.

use latchwheel_core::identity::stable_hash;
use latchwheel_protocol::{v1, Message};
use std::fs::{File, OpenOptions};
use std::io::{Result, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

const FOLDER: &str = "start-records";
const FILE_ENDING: &str = "records";
const PARTIAL_ENDING: &str = "part";
const CHECKSUM_BYTES: usize = 8;
const OWNER_ONLY: u32 = 0o600;

/// What the files of a folder hold.
#[derive(Debug, Default)]
pub struct SnapshotFiles {
    /// Snapshots of the deployment.
    pub whole: Vec<v1::StartSnapshot>,
    /// Files that are passed over.
    pub unusable: Vec<UnusableFile>,
}

impl SnapshotFiles {
    fn note_unusable(&mut self, path: PathBuf, reason: String) {
        self.unusable.push(UnusableFile { path, reason });
    }
}

/// A file that is passed over.
#[derive(Debug)]
pub struct UnusableFile {
    /// Where it is.
    pub path: PathBuf,
    /// Why.
    pub reason: String,
}

/// Where a node with a disk keeps records for its next start.
#[derive(Clone, Debug)]
pub struct SnapshotFolder {
    folder: PathBuf,
    deployment: String,
}

impl SnapshotFolder {
    /// The folder in a data folder; files of other deployments are passed over.
    ///
    /// # Errors
    /// If it can't be made.
    pub fn open(data_folder: &Path, deployment: &str) -> Result<Self> {
        let folder = data_folder.join(FOLDER);
        std::fs::create_dir_all(&folder)?;
        File::open(data_folder)?.sync_all()?;
        Ok(Self { folder, deployment: deployment.to_owned() })
    }

    /// Deployment that the records belong to.
    pub(crate) fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Replaces what is kept of a prefix.
    ///
    /// # Errors
    /// If the disk doesn't take it; what was kept before is there still.
    pub fn write(&self, snapshot: &v1::StartSnapshot) -> Result<()> {
        let prefix = snapshot.records.as_ref().map_or("", |records| &records.prefix);
        let (path, partial) = (self.path_of(prefix), self.path(prefix, PARTIAL_ENDING));
        let content = snapshot.encode_to_vec();
        let mut file = OpenOptions::new().create(true).write(true).truncate(true).mode(OWNER_ONLY).open(&partial)?;
        file.write_all(&stable_hash(&content).to_le_bytes())?;
        file.write_all(&content)?;
        file.sync_all()?;
        std::fs::rename(&partial, &path)?;
        File::open(&self.folder)?.sync_all()
    }

    /// All files of the folder.
    pub fn read_all(&self) -> SnapshotFiles {
        let mut files = SnapshotFiles::default();
        let entries = match std::fs::read_dir(&self.folder) {
            Ok(entries) => entries,
            Err(fault) => {
                files.note_unusable(self.folder.clone(), fault.to_string());
                return files;
            }
        };
        for path in entries.flatten().map(|entry| entry.path()) {
            if path.extension().is_none_or(|ending| ending != FILE_ENDING) {
                continue;
            }
            match self.read_one(&path) {
                Ok(snapshot) => files.whole.push(snapshot),
                Err(reason) => files.note_unusable(path, reason),
            }
        }
        files
    }

    fn read_one(&self, path: &Path) -> std::result::Result<v1::StartSnapshot, String> {
        let bytes = std::fs::read(path).map_err(|fault| fault.to_string())?;
        let snapshot = read_whole(&bytes).ok_or("not whole")?;
        if snapshot.deployment != self.deployment {
            return Err("of another deployment".into());
        }
        Ok(snapshot)
    }

    /// File of a prefix.
    pub(crate) fn path_of(&self, prefix: &str) -> PathBuf {
        self.path(prefix, FILE_ENDING)
    }

    fn path(&self, prefix: &str, ending: &str) -> PathBuf {
        self.folder.join(format!("{:016x}.{ending}", stable_hash(prefix.as_bytes())))
    }
}

fn read_whole(bytes: &[u8]) -> Option<v1::StartSnapshot> {
    let (checksum, content) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    if stable_hash(content).to_le_bytes() != checksum {
        return None;
    }
    v1::StartSnapshot::decode(content).ok()
}
