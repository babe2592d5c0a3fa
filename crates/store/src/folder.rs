//! The data folder: its format and the identity drawn when it was formatted.

use crate::disk::DiskFault;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};

const IDENTITY_FILE: &str = "replica-identity";
/// Version of the folder's layout, the first line of the identity file.
const LAYOUT: &str = "latchwheel data folder 1";

/// A formatted data folder.
#[derive(Clone, Debug)]
pub struct DataFolder {
    path: PathBuf,
    replica: u64,
}

impl DataFolder {
    /// Opens the folder; an empty one is formatted with a new identity, so
    /// that a machine with an emptied disk is a new replica.
    ///
    /// # Errors
    /// [`DiskFault`] where the folder can't be written or its identity can't
    /// be read.
    pub fn open(path: &Path) -> Result<Self, DiskFault> {
        fs::create_dir_all(path)?;
        let identity_path = path.join(IDENTITY_FILE);
        let replica = match fs::read_to_string(&identity_path) {
            Ok(text) => parse_identity(&text)?,
            Err(fault) if fault.kind() == std::io::ErrorKind::NotFound => format(path, &identity_path)?,
            Err(fault) => return Err(fault.into()),
        };
        Ok(Self { path: path.to_owned(), replica })
    }

    /// Identity of the replica; never zero.
    pub fn replica(&self) -> u64 {
        self.replica
    }

    /// Path of a group's database.
    pub fn group_path(&self, group: u64) -> PathBuf {
        self.path.join(format!("group-{group}.redb"))
    }

    /// Path of a database that is being filled with another replica's state.
    pub fn incoming_path(&self, group: u64) -> PathBuf {
        self.path.join(format!("group-{group}.incoming.redb"))
    }

    /// Groups with a database in the folder.
    ///
    /// # Errors
    /// [`DiskFault`] where the folder can't be read.
    pub fn groups(&self) -> Result<Vec<u64>, DiskFault> {
        let mut groups = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            let name = entry?.file_name().to_string_lossy().into_owned();
            let number = name.strip_prefix("group-").and_then(|rest| rest.strip_suffix(".redb"));
            groups.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        Ok(groups)
    }
}

fn parse_identity(text: &str) -> Result<u64, DiskFault> {
    let mut lines = text.lines();
    let known = lines.next() == Some(LAYOUT);
    let identity = lines.next().and_then(|line| u64::from_str_radix(line, 16).ok());
    match identity {
        Some(identity) if known && identity != 0 => Ok(identity),
        _ => Err(DiskFault::Damaged(format!("{IDENTITY_FILE} is not of this version"))),
    }
}

fn format(folder: &Path, identity_path: &Path) -> Result<u64, DiskFault> {
    let identity = rand::random::<u64>() | 1;
    let temporary = identity_path.with_extension("new");
    let mut file = File::create(&temporary)?;
    write!(file, "{LAYOUT}\n{identity:016x}\n")?;
    // The identity must be on stable storage before it is told to anyone.
    file.sync_all()?;
    fs::rename(&temporary, identity_path)?;
    File::open(folder)?.sync_all()?;
    Ok(identity)
}
