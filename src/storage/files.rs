//! The two file operations that can fail halfway, apart so that tests can make them fail.

use std::fs::File;
use std::io::{self, Write};

/// How bytes reach a log file and its disk.
pub trait Files: Send + 'static {
    /// Appends all of `buf`.
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()>;

    /// Returns once everything appended is on the disk.
    fn sync(&mut self, file: &File) -> io::Result<()>;
}

/// The operating system's files.
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
