//! The data folder: its lock, its file names, and atomic writes of whole files.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use crate::error::{Error, Result, Step};

const SEGMENT: (&str, &str) = ("log-", ".seg");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snap");
const TEMP_EXTENSION: &str = "tmp";

/// The data folder, locked against a second process.
pub(super) struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    pub(super) fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(|e| io_error("creating the data folder", path, e))?;
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|e| io_error("opening the lock file", &lock_path, e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let message = "another process uses this data folder";
                return Err(Error::new(Step::Storage, message).with_peer(path.display()));
            }
            Err(TryLockError::Error(e)) => return Err(io_error("locking", &lock_path, e)),
        }
        Ok(Self {
            path: path.to_owned(),
            _lock: lock,
        })
    }

    pub(super) fn identity(&self) -> PathBuf {
        self.path.join("identity")
    }

    pub(super) fn segment(&self, number: u64) -> PathBuf {
        self.numbered(SEGMENT, number)
    }

    pub(super) fn snapshot(&self, index: u64) -> PathBuf {
        self.numbered(SNAPSHOT, index)
    }

    fn numbered(&self, (prefix, suffix): (&str, &str), number: u64) -> PathBuf {
        self.path.join(format!("{prefix}{number:020}{suffix}"))
    }

    pub(super) fn segments(&self) -> Result<Vec<u64>> {
        self.numbers(SEGMENT)
    }

    pub(super) fn snapshots(&self) -> Result<Vec<u64>> {
        self.numbers(SNAPSHOT)
    }

    /// Numbers of the files of one kind, in order.
    fn numbers(&self, (prefix, suffix): (&str, &str)) -> Result<Vec<u64>> {
        let listing = fs::read_dir(&self.path).map_err(|e| io_error("listing", &self.path, e))?;
        let mut numbers = Vec::new();
        for file in listing {
            let file = file.map_err(|e| io_error("listing", &self.path, e))?;
            let name = file.file_name();
            let number: Option<u64> = name
                .to_str()
                .and_then(|n| n.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Writes a file under a temporary name, syncs it, then renames it, so that a crash never
    /// leaves a partial file under its final name.
    pub(super) fn write_atomically(&self, path: &Path, content: &[u8]) -> io::Result<()> {
        let temp = path.with_extension(TEMP_EXTENSION);
        let mut file = private_options().create(true).truncate(true).open(&temp)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&temp, path)?;
        self.sync()
    }

    /// Syncs the folder itself, which makes renames durable.
    pub(super) fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Options to write files that only their owner may read, as documents contain callers' keys.
fn private_options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).mode(0o600);
    options
}

pub(super) fn io_error(what: &str, path: &Path, e: io::Error) -> Error {
    Error::caused(Step::Storage, what, e).with_peer(path.display())
}
