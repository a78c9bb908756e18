//! Documents from files, and from folders that hold one document in parts.

use std::path::{Path, PathBuf};

use crate::document::{self, Document, Problems};

/// A document with the text that is sent.
pub(super) struct Loaded {
    pub(super) document: Document,
    pub(super) text: String,
}

/// Reads a file, or the parts in a folder.
pub(super) fn load(path: &Path) -> Result<Loaded, Problems> {
    if path.is_dir() {
        let document = document::load_parts(&parts(path)?, &path.display().to_string())?;
        let text = document::render(&document);
        return Ok(Loaded { document, text });
    }
    let document = document::load(path)?;
    let text = std::fs::read_to_string(path).map_err(|e| {
        let name = path.display().to_string();
        Problems::whole(&name, format!("the file can't be read: {e}"), None)
    })?;
    Ok(Loaded { document, text })
}

/// The YAML files of a folder, by name.
fn parts(folder: &Path) -> Result<Vec<PathBuf>, Problems> {
    let name = folder.display().to_string();
    let entries = std::fs::read_dir(folder)
        .map_err(|e| Problems::whole(&name, format!("the folder can't be read: {e}"), None))?;
    let is_yaml = |p: &PathBuf| {
        let extension = p.extension().and_then(|e| e.to_str());
        p.is_file() && matches!(extension, Some("yaml" | "yml"))
    };
    let mut paths: Vec<_> = entries
        .flatten()
        .map(|e| e.path())
        .filter(is_yaml)
        .collect();
    paths.sort();
    if paths.is_empty() {
        return Err(Problems::whole(&name, "no file here ends in .yaml", None));
    }
    Ok(paths)
}
