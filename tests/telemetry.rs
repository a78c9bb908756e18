//! Log lines and the metrics page as operators see them.

use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};

use yuccahold::telemetry;

#[derive(Clone, Default)]
struct SharedBuf(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuf {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_json_log_line_names_daemon_level_and_keys() {
    let out = SharedBuf::default();
    let log = telemetry::json_logger("entry", out.clone());
    slog::warn!(log, "a peer went silent"; "step" => "transfer", "peer" => "10.0.0.7:4000");
    let line = String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
    let mut value: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert!(value.as_object_mut().unwrap().remove("at").is_some());
    let expected = serde_json::json!({
        "daemon": "entry", "level": "WARNING", "message": "a peer went silent",
        "step": "transfer", "peer": "10.0.0.7:4000",
    });
    assert_eq!(value, expected);
}

#[test]
fn the_page_shows_counters_and_bucketed_seconds() {
    let page = telemetry::install_metrics().unwrap();
    let again = telemetry::install_metrics().unwrap();
    metrics::counter!("test_events_total").increment(3);
    metrics::histogram!("test_wait_seconds").record(0.002);
    let text = again.render();
    assert!(text.contains("test_events_total 3"), "{text}");
    assert!(
        text.contains(r#"test_wait_seconds_bucket{le="0.0025"} 1"#),
        "{text}"
    );
    assert_eq!(text, page.render());
}

/// Collects the metric names in all source files below a folder.
fn collect_metric_names(folder: &Path, names: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_metric_names(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        for piece in text
            .split('"')
            .filter(|piece| piece.starts_with("yuccahold_"))
        {
            names.insert(piece.to_owned());
        }
    }
}

#[test]
fn every_metric_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut names = BTreeSet::new();
    collect_metric_names(&root.join("src"), &mut names);
    let page = std::fs::read_to_string(root.join("docs/METRICS.md")).unwrap();
    let missing: Vec<_> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert!(!names.is_empty());
    assert!(
        missing.is_empty(),
        "add a line to docs/METRICS.md for {missing:?}"
    );
}
