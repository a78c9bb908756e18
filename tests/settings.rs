//! The daemons' settings files: examples, defaults, reference page and reported problems.

use std::path::Path;

use yuccahold::settings;

fn example(name: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

/// The text of an example without its section "Defaults".
fn without_defaults(name: &str) -> String {
    let text = std::fs::read_to_string(example(name)).unwrap();
    let (given, defaults) = text.split_once("# Defaults").unwrap();
    assert!(defaults.contains(':'), "{name} shows its defaults");
    given.to_owned()
}

#[test]
fn the_entry_example_shows_the_actual_defaults() {
    let text = std::fs::read_to_string(example("entry.yaml")).unwrap();
    let full = settings::parse_entry("entry.yaml", &text).unwrap();
    let short = settings::parse_entry("entry.yaml", &without_defaults("entry.yaml")).unwrap();
    assert_eq!(full, short);
    let loaded = settings::load_entry(&example("entry.yaml")).unwrap();
    assert_eq!(loaded.cell_key, example("cell.key"));
}

#[test]
fn the_control_example_shows_the_actual_defaults() {
    let text = std::fs::read_to_string(example("control.yaml")).unwrap();
    let full = settings::parse_control("control.yaml", &text).unwrap();
    let short = settings::parse_control("control.yaml", &without_defaults("control.yaml")).unwrap();
    assert_eq!(full, short);
}

#[test]
fn the_reference_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/SETTINGS.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, settings::reference()).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        page,
        settings::reference(),
        "see the page on how to update it"
    );
}

#[test]
fn all_problems_of_entry_settings_are_reported() {
    let text = "id: e 1\nzon: bern-a\nlisten: 0.0.0.0:80\npeer_listen: 0.0.0.0:80\n\
                control: [10.0.0.1, \"10.0.0.1:0\"]\nstop_delay: 5\n";
    let problems = settings::parse_entry("entry.yaml", text).unwrap_err();
    insta::assert_snapshot!(problems.to_text());
}

#[test]
fn all_problems_of_control_settings_are_reported() {
    let text = "zone: a\ncell_key: k\ndata: d\nlisten: 10.0.0.1:7400\n\
                call_listen: 10.0.0.1:7400\nreplica_listen: 10.0.0.1:7402\n\
                replicas: [\"10.0.0.1:7402\"]\nheartbeat: 900 ms\nsnapshot_bytes: 1 B\n\
                replica_advertise: 0.0.0.0:1\n";
    let problems = settings::parse_control("control.yaml", text).unwrap_err();
    insta::assert_snapshot!(problems.to_text());
}
