//! Generates the reference page of the document format from the schema.

use super::model::Document;
use super::schema::FORMAT;
use crate::schema::{MAX_BYTES, MAX_DEPTH, MAX_NODES, Record, describe};

/// Returns the content of docs/DOCUMENT.md.
pub fn reference() -> String {
    let mut document = Document::initial();
    let fields = describe("The document", &mut document);
    format!(
        "# The document

One YAML document describes the whole desired state of a cell. `yuccahold check FILE` checks
it, `yuccahold apply FILE` puts it in force, `yuccahold show` prints the one in force; the
console's forms make the same document. See `examples/massfenster.yaml` and
`examples/torres.yaml`.

This page is made from the schema that reads and writes the document; a test keeps it true.
To write it anew after a change of the schema: `UPDATE_DOCS=1 cargo test --test document`.

## Rules

- Amounts carry their unit: `64 GB`, `250 ms`, `8 cores`, `99.9 %`. A missing or unknown unit is
  refused. Memory counts in powers of ten.
- An unknown key is refused, with the nearest known one named. A key given twice is refused.
- All problems of a document are told together, each with file, line and column.
- A document is UTF-8 of at most {MAX_BYTES} bytes, nested at most {MAX_DEPTH} levels, with at
  most {MAX_NODES} values; what stands behind a YAML alias counts each time it is used.
- Names have at most 63 letters, digits, `-`, `_` or `.`; a name used as a key has no dot.

## Format versions

`format` is {FORMAT} today. A program reads exactly the formats it names, and refuses every other
by number. A change that only adds optional keys keeps the number. A change that gives a key
another meaning, or takes one away, raises it; the release that does so reads both numbers, and
`yuccahold show` then prints the document in the new one. To upgrade: put the new program on
every control replica, run `yuccahold show > FILE`, look at the difference, commit it and
`yuccahold apply FILE`. Entry hosts never read the text, so their order does not matter.

{fields}"
    )
}
