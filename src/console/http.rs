//! Small helpers around the request and answer that travel between daemons.

use compact_str::{CompactString, ToCompactString};

use crate::wire::{HttpAnswer, HttpCall};

/// Pages load nothing but the console's own style, run no scripts and can't be framed.
const POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                      frame-ancestors 'none'; base-uri 'none'";

pub(super) fn header_of<'a>(call: &'a HttpCall, name: &str) -> Option<&'a str> {
    let found = call.headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

pub(super) fn answer_header<'a>(answer: &'a HttpAnswer, name: &str) -> Option<&'a str> {
    let found = answer.headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

pub(super) fn set_header(call: &mut HttpCall, name: &str, value: &str) {
    call.headers.retain(|(key, _)| key != name);
    call.headers
        .push((name.to_compact_string(), value.to_owned()));
}

/// The value of one of a request's cookies.
pub(super) fn cookie<'a>(call: &'a HttpCall, name: &str) -> Option<&'a str> {
    let pairs = header_of(call, "cookie")?.split(';');
    let mut pairs = pairs.filter_map(|pair| pair.trim().split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

pub(super) fn page(status: u16, html: String) -> HttpAnswer {
    answer(status, "text/html; charset=utf-8", html.into_bytes())
}

pub(super) fn answer(status: u16, kind: &str, body: Vec<u8>) -> HttpAnswer {
    let header = |name: &str, value: &str| (CompactString::from(name), value.to_owned());
    HttpAnswer {
        status,
        headers: vec![
            header("content-type", kind),
            header("content-security-policy", POLICY),
            header("x-content-type-options", "nosniff"),
            header("referrer-policy", "same-origin"),
            header("cache-control", "no-store"),
        ],
        body,
    }
}

pub(super) fn redirect(to: &str) -> HttpAnswer {
    let mut answer = answer(303, "text/plain; charset=utf-8", Vec::new());
    answer.headers.push(("location".into(), to.to_owned()));
    answer
}

/// A refusal of the HTTP interface; nothing was run.
pub(super) fn refusal(status: u16, message: &str) -> HttpAnswer {
    let body = serde_json::json!({ "error": message }).to_string();
    let mut answer = answer(status, "application/json", body.into_bytes());
    answer
        .headers
        .push(("yuccahold-outcome".into(), "not-run".to_owned()));
    answer
}
