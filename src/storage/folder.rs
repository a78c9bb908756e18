//! Names in the data folder, and whole files that appear at once or not at all.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use crate::error::{Error, Result, Step};

const SEGMENT: (&str, &str) = ("log-", ".seg");
const SNAPSHOT: (&str, &str) = ("snapshot-", ".snap");
const UNFINISHED: &str = "tmp";

/// The folder, locked against a second process.
pub(super) struct Folder {
    path: PathBuf,
    _lock: File,
}

impl Folder {
    pub(super) fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path).map_err(|e| failed("making the data folder", path, e))?;
        let lock_path = path.join("lock");
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(|e| failed("opening the lock file", &lock_path, e))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => {
                let message = "another process uses this data folder";
                return Err(Error::new(Step::Storage, message).with_peer(path.display()));
            }
            Err(TryLockError::Error(e)) => return Err(failed("locking", &lock_path, e)),
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
        let listing = fs::read_dir(&self.path).map_err(|e| failed("listing", &self.path, e))?;
        let mut numbers = Vec::new();
        for file in listing {
            let file = file.map_err(|e| failed("listing", &self.path, e))?;
            let name = file.file_name();
            let number: Option<u64> = name
                .to_str()
                .and_then(|n| n.strip_prefix(prefix)?.strip_suffix(suffix)?.parse().ok());
            numbers.extend(number);
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Writes a file under another name, syncs it, and only then gives it its own.
    pub(super) fn write_whole(&self, path: &Path, content: &[u8]) -> io::Result<()> {
        let unfinished = path.with_extension(UNFINISHED);
        let mut file = private().create(true).truncate(true).open(&unfinished)?;
        file.write_all(content)?;
        file.sync_all()?;
        fs::rename(&unfinished, path)?;
        self.sync()
    }

    /// Makes names given and taken durable.
    pub(super) fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

/// Opens files for writing that their owner alone may read: documents hold callers' keys.
fn private() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).mode(0o600);
    options
}

pub(super) fn failed(what: &str, path: &Path, e: io::Error) -> Error {
    Error::caused(Step::Storage, what, e).with_peer(path.display())
}
