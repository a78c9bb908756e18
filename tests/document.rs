//! Tests parsing, validation, rendering and comparison of documents.

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

/// Snapshot of the full error message for every file in `tests/cases/documents`.
#[test]
fn bad_documents_are_refused_with_all_problems() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/documents");
    let mut paths: Vec<_> = std::fs::read_dir(&folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    let mut messages = String::new();
    for path in paths {
        let problems = document::load(&path).expect_err("it is a bad document");
        messages += &problems
            .to_text()
            .replace(&format!("{}/", folder.display()), "");
        messages += "\n";
    }
    insta::assert_snapshot!(messages);
}

#[test]
fn a_terminal_sees_the_text_with_the_place_marked() {
    let text = "format: 1\ncell: c\nregion: r\nzones: [a]\npolicy:\n  waitng_weight: 3\n";
    let problems = document::parse("cell.yaml", text).unwrap_err();
    insta::assert_snapshot!(problems.to_report(false));
}

#[test]
fn a_text_over_the_limit_is_refused() {
    let text = "x".repeat(yuccahold::schema::MAX_BYTES + 1);
    let problems = document::parse("big", &text).unwrap_err();
    assert!(
        problems.to_text().contains("over the limit"),
        "{problems:?}"
    );
}

#[test]
fn the_reference_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/DOCUMENT.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, document::reference()).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap();
    assert_eq!(
        page,
        document::reference(),
        "see the page on how to update it"
    );
}

#[test]
fn a_difference_tells_what_changes_and_what_happens() {
    let old = load("massfenster.yaml");
    let mut new = old.clone();
    new.services.get_mut("massrechner").unwrap().deadline = std::time::Duration::from_secs(3);
    new.workloads.get_mut("price-list").unwrap().tasks = 6;
    new.teams.remove("bookkeeping");
    new.kinds.remove("reconciliation");
    new.objectives.swap(0, 1);
    new.objectives[2].millipercent = 99_500;
    new.drains.push(document::Drain {
        target: document::DrainTarget::Zone("olten".into()),
        within: std::time::Duration::from_secs(600),
    });
    let diff = document::diff(&old, &new);
    insta::assert_snapshot!(diff.to_text());
    let changes = serde_json::to_value(&diff).unwrap();
    assert_eq!(
        changes["changes"].as_array().unwrap().len(),
        diff.changes.len()
    );
    assert!(document::diff(&new, &new).is_empty());
}
