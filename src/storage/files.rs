//! The file operations on the log, behind a trait so that tests can inject failures.

use std::fs::File;
use std::io::{self, Write};

/// Operations on the log file that can fail halfway.
pub trait Files: Send + 'static {
    /// Appends all of `buf`; after an error, part of it may have been written.
    fn append(&mut self, file: &mut File, buf: &[u8]) -> io::Result<()>;

    /// Returns once all appended data is on disk.
    fn sync(&mut self, file: &File) -> io::Result<()>;
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
