//! Settings files of the daemons: addresses, availability zone, file paths and limits of a process.

mod model;
mod reference;
mod schema;

use std::path::{Path, PathBuf};

pub use model::{ControlSettings, EntrySettings};
pub use reference::reference;

use crate::schema::{Problems, read_file, read_with};

/// Parses and validates the settings of `yuccahold-entry` from YAML text; `name` is the file name
/// shown with problems.
pub fn parse_entry(name: &str, text: &str) -> Result<EntrySettings, Problems> {
    read_with(name, text, schema::check_entry)
}

/// Parses and validates the settings of `yuccahold-control` from YAML text; `name` is the file name
/// shown with problems.
pub fn parse_control(name: &str, text: &str) -> Result<ControlSettings, Problems> {
    read_with(name, text, schema::check_control)
}

/// Loads and validates a settings file of `yuccahold-entry`; relative paths in it are resolved
/// against its folder.
pub fn load_entry(path: &Path) -> Result<EntrySettings, Problems> {
    let mut settings = read_file(path, parse_entry)?;
    settings.cell_key = beside(path, &settings.cell_key);
    Ok(settings)
}

/// Loads and validates a settings file of `yuccahold-control`; relative paths in it are resolved
/// against its folder.
pub fn load_control(path: &Path) -> Result<ControlSettings, Problems> {
    let mut settings = read_file(path, parse_control)?;
    settings.cell_key = beside(path, &settings.cell_key);
    settings.data = beside(path, &settings.data);
    settings.operators = settings.operators.map(|o| beside(path, &o));
    Ok(settings)
}

fn beside(file: &Path, path: &Path) -> PathBuf {
    file.parent().unwrap_or(Path::new("")).join(path)
}
