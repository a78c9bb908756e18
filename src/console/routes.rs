//! The console as a filter for an HTTP server.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use compact_str::ToCompactString;
use http::{HeaderMap, Method, Response};
use warp::path::FullPath;
use warp::{Filter, Rejection};

use super::pages::Console;
use super::state::ConsoleState;
use crate::wire::{HttpAnswer, HttpCall};

/// Largest body that is read.
const MAX_BODY: u64 = 4 * 1024 * 1024;

/// Answers every request by the console.
pub fn routes<S: ConsoleState>(
    console: Console<S>,
) -> impl Filter<Extract = (Response<Bytes>,), Error = Rejection> + Clone + Send + Sync + 'static {
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let bounded = warp::body::content_length_limit(MAX_BODY);
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(bounded.or(warp::get()).unify())
        .and(warp::body::bytes())
        .then(
            move |method: Method,
                  path: FullPath,
                  query: String,
                  headers: HeaderMap,
                  body: Bytes| {
                let console = console.clone();
                let call = HttpCall {
                    method: method.as_str().into(),
                    path: match query.as_str() {
                        "" => path.as_str().to_owned(),
                        query => format!("{}?{query}", path.as_str()),
                    },
                    headers: texts(&headers),
                    body: body.to_vec(),
                };
                async move {
                    let now = SystemTime::now().duration_since(UNIX_EPOCH);
                    response(console.answer(now.unwrap_or_default(), call).await)
                }
            },
        )
}

fn texts(headers: &HeaderMap) -> Vec<(compact_str::CompactString, String)> {
    let text = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        let value = value.to_str().ok()?.to_owned();
        Some((name.as_str().to_compact_string(), value))
    };
    headers.iter().filter_map(text).collect()
}

fn response(answer: HttpAnswer) -> Response<Bytes> {
    let mut res = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        res = res.header(name.as_str(), value);
    }
    res.body(Bytes::from(answer.body)).unwrap_or_default()
}
