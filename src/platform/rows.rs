//! Parses JSON lists from other programs row by row, so that an unreadable row affects only itself.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// The readable rows of a list, and the number of unreadable ones.
pub(super) struct Rows<T> {
    pub(super) read: Vec<T>,
    pub(super) unreadable: u32,
}

/// Parses each row of the list under the key `name`; a missing or null list has no rows. `None`
/// when the value is not a list.
///
/// Otherwise a single unreadable row would make the whole list unreadable for as long as the row is
/// listed: the ends of all runs on a minion would go unnoticed, or a step would lose all its
/// tickets.
pub(super) fn rows<T: DeserializeOwned>(body: &mut Value, name: &str) -> Option<Rows<T>> {
    let mut rows = Rows {
        read: Vec::new(),
        unreadable: 0,
    };
    let list = match body.get_mut(name).map(Value::take) {
        None | Some(Value::Null) => return Some(rows),
        Some(Value::Array(list)) => list,
        Some(_) => return None,
    };
    for row in list {
        match serde_json::from_value(row) {
            Ok(row) => rows.read.push(row),
            Err(_) => rows.unreadable += 1,
        }
    }
    Some(rows)
}
