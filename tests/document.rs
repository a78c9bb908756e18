//! The document: reading, refusing, writing.

use std::path::Path;

use rstest::rstest;
use yuccahold::document;

fn load(name: &str) -> document::Document {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    document::load(&path).unwrap_or_else(|e| panic!("{}", e.to_text()))
}

#[rstest]
#[case("massfenster.yaml")]
#[case("torres.yaml")]
fn examples_are_valid_and_render_to_the_same(#[case] name: &str) {
    let example = load(name);
    let text = document::render(&example);
    let again = document::parse("rendered", &text).unwrap_or_else(|e| panic!("{}", e.to_text()));
    assert_eq!(again, example);
    assert_eq!(document::render(&again), text);
}
