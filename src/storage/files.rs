//! The operations that change files, behind a trait so that tests can make each of them fail.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// Operations on the files of a replica. A process may end before and after each of them.
pub trait Files: Send + 'static {
    /// Appends all of `buf`; after an error, part of it may have been written.
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()>;

    /// Returns once all appended data is on disk.
    fn sync(&mut self, file: &File) -> io::Result<()>;

    /// Returns once the whole file is on disk, with its metadata.
    fn sync_all(&mut self, file: &File) -> io::Result<()> {
        file.sync_all()
    }

    /// Cuts the file to `len` bytes.
    fn truncate(&mut self, file: &File, len: u64) -> io::Result<()> {
        file.set_len(len)
    }

    /// Renames a file, replacing any file at `to`.
    fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&mut self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    /// Returns once all renames and removals in the folder are on disk.
    fn sync_folder(&mut self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

/// File operations of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealFiles;

impl Files for RealFiles {
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()> {
        file.write_all(buf)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}
