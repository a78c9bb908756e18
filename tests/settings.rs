//! The daemons' settings: examples, defaults and refusals.

use std::path::Path;

use yuccahold::settings;

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

/// The example without what stands under "Defaults".
fn without_defaults(name: &str) -> String {
    let text = std::fs::read_to_string(example(name)).unwrap();
    let (given, defaults) = text.split_once("# Defaults").unwrap();
    assert!(defaults.contains(':'), "{name} shows its defaults");
    given.to_owned()
}

#[test]
fn the_entry_example_shows_the_true_defaults() {
    let text = std::fs::read_to_string(example("entry.yaml")).unwrap();
    let full = settings::parse_entry("entry.yaml", &text).unwrap();
    let short = settings::parse_entry("entry.yaml", &without_defaults("entry.yaml")).unwrap();
    assert_eq!(full, short);
    let loaded = settings::load_entry(&example("entry.yaml")).unwrap();
    assert_eq!(loaded.cell_key, example("cell.key"));
}

#[test]
fn the_control_example_shows_the_true_defaults() {
    let text = std::fs::read_to_string(example("control.yaml")).unwrap();
    let full = settings::parse_control("control.yaml", &text).unwrap();
    let short = settings::parse_control("control.yaml", &without_defaults("control.yaml")).unwrap();
    assert_eq!(full, short);
}
