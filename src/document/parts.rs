//! Loads a document that is split over several files.

use std::path::PathBuf;

use super::model::Document;
use super::{parse, render};
use crate::schema::{Problems, Record, read_file, read_part};

/// Reads the files of one document, merges them and validates the result.
///
/// Each file may hold any of the top-level keys. A syntax error is reported at its position in
/// the file; an error of the merged document, at its position in the rendered document.
pub fn load_parts(paths: &[PathBuf], name: &str) -> Result<Document, Problems> {
    let mut whole = Document::initial();
    for path in paths {
        let part: Document = read_file(path, read_part)?;
        merge(&mut whole, part).map_err(|what| {
            let message = format!("{what} is also given in an earlier file");
            Problems::whole(&path.display().to_string(), message, None)
        })?;
    }
    parse(&format!("{name} (all files together)"), &render(&whole))
}

/// Merges a part into the whole. The error is the key that both define.
fn merge(whole: &mut Document, part: Document) -> Result<(), String> {
    let blank = Document::initial();
    merge_value(&mut whole.format, part.format, &blank.format, "format")?;
    merge_value(&mut whole.cell, part.cell, &blank.cell, "cell")?;
    merge_value(&mut whole.region, part.region, &blank.region, "region")?;
    merge_value(&mut whole.policy, part.policy, &blank.policy, "policy")?;
    merge_map(&mut whole.teams, part.teams, "teams")?;
    merge_map(&mut whole.services, part.services, "services")?;
    merge_map(&mut whole.kinds, part.kinds, "kinds")?;
    merge_map(&mut whole.workloads, part.workloads, "workloads")?;
    whole.zones.extend(part.zones);
    whole.routes.extend(part.routes);
    whole.objectives.extend(part.objectives);
    whole.drains.extend(part.drains);
    Ok(())
}

fn merge_value<T: PartialEq>(whole: &mut T, part: T, blank: &T, key: &str) -> Result<(), String> {
    if part == *blank || part == *whole {
        return Ok(());
    }
    if *whole != *blank {
        return Err(format!("`{key}`"));
    }
    *whole = part;
    Ok(())
}

fn merge_map<T>(
    whole: &mut std::collections::BTreeMap<compact_str::CompactString, T>,
    part: std::collections::BTreeMap<compact_str::CompactString, T>,
    key: &str,
) -> Result<(), String> {
    for (name, value) in part {
        if whole.contains_key(&name) {
            return Err(format!("`{key}.{name}`"));
        }
        whole.insert(name, value);
    }
    Ok(())
}
