//! A disk on which a replica ends at a chosen file operation, and which may then lose what was not
//! synced.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use yuccahold::error::Result;
use yuccahold::storage::{Files, Opened, Store};

/// Where in a file operation the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Before it.
    Before,
    /// Half of the bytes are written; like `Before` for an operation other than a write.
    Halfway,
    /// After it.
    After,
}

/// What happens to the machine when the process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It runs on, and all that was written remains.
    Kill,
    /// It loses power, and all that was not synced is gone.
    PowerLoss,
}

type Inode = u64;

#[derive(Default)]
struct Inner {
    path: PathBuf,
    /// Operations until the fault; `None` without one.
    left: Option<(usize, Fault)>,
    has_failed: bool,
    is_full: bool,
    /// The folder's entries as of its last sync.
    synced_names: BTreeMap<String, Inode>,
    /// Each file's content as of its last sync.
    synced: HashMap<Inode, Vec<u8>>,
    /// Keeps the numbers of removed files from being used again.
    open: Vec<File>,
}

impl Inner {
    fn names(&self) -> BTreeMap<String, Inode> {
        let files = fs::read_dir(&self.path).expect("the folder is listed");
        let files = files.map(|f| f.expect("a file"));
        let named = files.map(|f| (f.file_name().into_string().expect("a name"), f));
        named
            .filter(|(name, _)| name != "lock")
            .map(|(name, f)| (name, f.metadata().expect("it exists").ino()))
            .collect()
    }

    fn path_of(&self, inode: Inode) -> PathBuf {
        let names = self.names();
        let (name, _) = names.iter().find(|(_, i)| **i == inode).expect("a file");
        self.path.join(name)
    }
}

/// The disk of one replica, in a temporary folder.
pub struct Disk(Arc<Mutex<Inner>>);

impl Disk {
    pub fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("yuccahold-disk-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        let inner = Inner {
            path,
            ..Inner::default()
        };
        Self(Arc::new(Mutex::new(inner)))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().expect("no test thread panicked")
    }

    pub fn open(&self) -> Result<(Store<FailurePoint>, Opened)> {
        let path = self.inner().path.clone();
        Store::open_with(&path, FailurePoint(self.0.clone()))
    }

    /// Opens the folder while nothing more can be written.
    pub fn open_full(&self) -> Result<(Store<FailurePoint>, Opened)> {
        self.inner().is_full = true;
        let opened = self.open();
        self.inner().is_full = opened.is_ok();
        opened
    }

    pub fn free_space(&self) {
        self.inner().is_full = false;
    }

    /// Ends the process at the file operation with this number, counted from 0 and from now.
    pub fn fail_at(&self, operation: usize, fault: Fault) {
        self.inner().left = Some((operation, fault));
    }

    pub fn has_failed(&self) -> bool {
        self.inner().has_failed
    }

    /// Ends the process, if it has not ended yet, and takes the fault away.
    pub fn end(&self, end: End) {
        if end == End::PowerLoss {
            self.lose_power();
        }
        let mut inner = self.inner();
        inner.left = None;
        inner.has_failed = false;
    }

    /// Takes the folder back to what was synced.
    pub fn lose_power(&self) {
        let mut inner = self.inner();
        for name in inner.names().into_keys() {
            fs::remove_file(inner.path.join(name)).expect("a file is removed");
        }
        let synced = inner.synced_names.clone();
        let contents: Vec<_> = synced
            .into_iter()
            .map(|(name, inode)| (name, inner.synced.get(&inode).cloned().unwrap_or_default()))
            .collect();
        inner.open.clear();
        inner.synced.clear();
        for (name, content) in contents {
            let path = inner.path.join(&name);
            fs::write(&path, &content).expect("a file is written");
            let inode = fs::metadata(&path).expect("it exists").ino();
            inner.synced_names.insert(name, inode);
            inner.synced.insert(inode, content);
            inner.open.push(File::open(path).expect("it exists"));
        }
    }

    /// Names of the files but for the lock.
    pub fn names(&self) -> Vec<String> {
        self.inner().names().into_keys().collect()
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        if let Ok(inner) = self.0.lock() {
            let _ = fs::remove_dir_all(&inner.path);
        }
    }
}

/// The file operations of one process.
pub struct FailurePoint(Arc<Mutex<Inner>>);

impl FailurePoint {
    /// Carries out one operation, unless the process has ended or ends here.
    fn run(
        &mut self,
        half: impl FnOnce() -> io::Result<()>,
        whole: impl FnOnce(&mut Inner) -> io::Result<()>,
    ) -> io::Result<()> {
        let mut inner = self.0.lock().expect("no test thread panicked");
        let ended = || io::Error::other("the process has ended");
        if inner.has_failed {
            return Err(ended());
        }
        match &mut inner.left {
            Some((0, fault)) => {
                let fault = *fault;
                inner.has_failed = true;
                match fault {
                    Fault::Before => {}
                    Fault::Halfway => half()?,
                    Fault::After => whole(&mut inner)?,
                }
                Err(ended())
            }
            Some((left, _)) => {
                *left -= 1;
                whole(&mut inner)
            }
            None => whole(&mut inner),
        }
    }
}

fn nothing() -> io::Result<()> {
    Ok(())
}

impl Files for FailurePoint {
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()> {
        let mut half = file.try_clone()?;
        let part = &buf[..buf.len() / 2];
        self.run(
            || half.write_all(part),
            |inner| {
                if inner.is_full {
                    file.write_all(part)?;
                    return Err(io::ErrorKind::StorageFull.into());
                }
                file.write_all(buf)
            },
        )
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        self.run(nothing, |inner| {
            let inode = file.metadata()?.ino();
            let content = fs::read(inner.path_of(inode))?;
            inner.synced.insert(inode, content);
            inner.open.push(file.try_clone()?);
            Ok(())
        })
    }

    fn sync_all(&mut self, file: &File) -> io::Result<()> {
        self.sync(file)
    }

    fn truncate(&mut self, file: &File, len: u64) -> io::Result<()> {
        self.run(nothing, |_| file.set_len(len))
    }

    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        self.run(nothing, |_| fs::rename(from, to))
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.run(nothing, |_| fs::remove_file(path))
    }

    fn sync_folder(&mut self, path: &Path) -> io::Result<()> {
        self.run(nothing, |inner| {
            if path == inner.path {
                inner.synced_names = inner.names();
            }
            Ok(())
        })
    }
}
