//! The reference page of the daemons' settings, generated from the schema.

use super::model::{ControlSettings, EntrySettings};
use crate::schema::{Record, describe};

/// Generates the text of docs/SETTINGS.md.
pub fn reference() -> String {
    let entry = describe("`yuccahold-entry`", &mut EntrySettings::initial());
    let control = describe("`yuccahold-control`", &mut ControlSettings::initial());
    format!(
        "# Settings of the daemons

Each daemon reads one YAML file, named as its only argument. `examples/entry.yaml` and
`examples/control.yaml` show every key with its default. `yuccahold check FILE` checks a file
without starting anything; a daemon refuses a file with problems and exits with code 3.

Amounts carry their unit (`250 ms`, `8 MB`). Relative paths are resolved against the folder of the
file. Unknown keys, missing addresses and availability zones, conflicting ports and addresses that
cannot be connected to are reported together, with line and column.

This page is generated from the schema that reads the settings, and a test checks that it is up to
date. To generate it again: `UPDATE_DOCS=1 cargo test --test settings`.

{entry}{control}"
    )
}
