//! The data folder: its lock, its file names, and atomic writes of whole files.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use super::files::Files;
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
    pub(super) fn open(path: &Path, files: &mut impl Files) -> Result<Self> {
        if !path.exists() {
            create(path, files).map_err(|e| io_error("creating the data folder", path, e))?;
        }
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
        let number = |path: PathBuf| {
            let name = path.file_name()?.to_str()?;
            name.strip_prefix(prefix)?
                .strip_suffix(suffix)?
                .parse()
                .ok()
        };
        let mut numbers: Vec<u64> = self.paths()?.into_iter().filter_map(number).collect();
        numbers.sort_unstable();
        Ok(numbers)
    }

    fn paths(&self) -> Result<Vec<PathBuf>> {
        let listed =
            fs::read_dir(&self.path).and_then(|files| files.map(|f| f.map(|f| f.path())).collect());
        listed.map_err(|e| io_error("listing", &self.path, e))
    }

    pub(super) fn read(&self, path: &Path) -> Result<Vec<u8>> {
        fs::read(path).map_err(|e| io_error("reading", path, e))
    }

    /// Writes a file under a temporary name, syncs it, then renames it, so that a crash never
    /// leaves a partial file under its final name.
    pub(super) fn write_atomically(
        &self,
        files: &mut impl Files,
        path: &Path,
        content: &[u8],
    ) -> io::Result<()> {
        let temp = path.with_extension(TEMP_EXTENSION);
        let mut file = private_options().create(true).truncate(true).open(&temp)?;
        files.append(&mut file, content)?;
        files.sync_all(&file)?;
        files.rename(&temp, path)?;
        self.sync(files)
    }

    /// Removes the temporary files of writes that a crash or a full disk has interrupted.
    pub(super) fn remove_temporary(&self, files: &mut impl Files) -> Result<()> {
        let is_temporary = |path: &PathBuf| path.extension().is_some_and(|e| e == TEMP_EXTENSION);
        for path in self.paths()?.into_iter().filter(is_temporary) {
            self.remove(files, &path)?;
        }
        Ok(())
    }

    pub(super) fn remove(&self, files: &mut impl Files, path: &Path) -> Result<()> {
        files
            .remove(path)
            .map_err(|e| io_error("removing", path, e))
    }

    /// Syncs the folder itself, which makes renames durable.
    pub(super) fn sync(&self, files: &mut impl Files) -> io::Result<()> {
        files.sync_folder(&self.path)
    }
}

/// Creates the folder, and makes its own entry durable.
fn create(path: &Path, files: &mut impl Files) -> io::Result<()> {
    fs::create_dir_all(path)?;
    match path.canonicalize()?.parent() {
        Some(parent) => files.sync_folder(parent),
        None => Ok(()),
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
