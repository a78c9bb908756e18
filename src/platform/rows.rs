//! Rows of lists that other programs wrote, read one by one.

use serde::de::DeserializeOwned;
use serde_json::Value;

/// Rows that could be read, and the number of the others.
pub(super) struct Rows<T> {
    pub(super) read: Vec<T>,
    pub(super) unreadable: u32,
}

/// Reads each row of a list that stands under `name`; a missing list has none. `None` when
/// something else than a list stands there.
///
/// One row of an unknown shape would otherwise cost all rows beside it: every end on a minion
/// would stay unseen, or every ticket of a step be lost, for as long as the row is listed.
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
