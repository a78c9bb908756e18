//! A self-contained HTML page for a report: no scripts or external files, with light and dark
//! colour schemes.

use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = "body{font:16px/1.5 sans-serif;max-width:60rem;margin:1rem auto;padding:0 1rem;\
color-scheme:light dark}table{border-collapse:collapse;width:100%}th,td{text-align:left;\
padding:.25rem .75rem .25rem 0;border-bottom:1px solid #8888}svg{max-width:100%;height:auto}\
pre{overflow-x:auto}.alert{border:2px solid;padding:.5rem}";

/// Wraps a report's body in a complete HTML page; `title` is also the top heading.
pub fn page(title: &str, body: &Markup) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { (title) }
                (body)
            }
        }
    };
    page.into_string()
}
