//! One document kept in several files.

use std::path::PathBuf;

use super::model::Document;
use super::{parse, render};
use crate::schema::{Problems, Record, read_file, read_part};

/// Reads the parts of one document and puts them together.
///
/// Each part may hold any of the top-level keys. What is wrong within a part is told with the
/// part's place; what is wrong with the whole, with the place in the whole as it is rendered.
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

/// Adds a part, or says what both hold.
fn merge(whole: &mut Document, part: Document) -> Result<(), String> {
    let blank = Document::initial();
    single(&mut whole.format, part.format, &blank.format, "format")?;
    single(&mut whole.cell, part.cell, &blank.cell, "cell")?;
    single(&mut whole.region, part.region, &blank.region, "region")?;
    single(&mut whole.policy, part.policy, &blank.policy, "policy")?;
    named(&mut whole.teams, part.teams, "teams")?;
    named(&mut whole.services, part.services, "services")?;
    named(&mut whole.kinds, part.kinds, "kinds")?;
    named(&mut whole.workloads, part.workloads, "workloads")?;
    whole.zones.extend(part.zones);
    whole.routes.extend(part.routes);
    whole.objectives.extend(part.objectives);
    whole.drains.extend(part.drains);
    Ok(())
}

fn single<T: PartialEq>(whole: &mut T, part: T, blank: &T, key: &str) -> Result<(), String> {
    if part == *blank || part == *whole {
        return Ok(());
    }
    if *whole != *blank {
        return Err(format!("`{key}`"));
    }
    *whole = part;
    Ok(())
}

fn named<T>(
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
