//! The operators' HTTP interface, from the outside.

use std::time::Duration;

use reqwest::{Method, RequestBuilder, Response, StatusCode};
use serde::Serialize;
use serde_json::Value;

use super::Failure;
use super::config::Config;
use crate::ExitCode;
use crate::ids::Revision;

/// Longest time for one try.
const TRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Tries of one request. All carry the same idempotency key, so that a resend changes nothing.
const TRIES: u32 = 5;
/// Time before the second try; doubled for each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// A client signed in as the configuration says.
pub(super) struct Client {
    http: reqwest::Client,
    server: String,
    token: Option<String>,
}

/// A document in the server's hands.
pub(super) struct Fetched {
    pub(super) revision: Revision,
    pub(super) text: String,
}

/// What became of a change of the document.
pub(super) enum Put {
    Accepted(Revision),
    /// Someone else changed it meanwhile; nothing was changed.
    Stale,
}

impl Client {
    pub(super) fn new(config: &Config) -> Result<Self, Failure> {
        let token = match &config.token_file {
            None => None,
            Some(path) => {
                let text = std::fs::read_to_string(path).map_err(|e| {
                    let message = format!("token file {}: {e}", path.display());
                    Failure::new(ExitCode::GeneralError, message)
                })?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Self {
            http: reqwest::Client::new(),
            server: config.server.clone(),
            token,
        })
    }

    /// The document in force, or an earlier one; none when there is none.
    pub(super) async fn document(
        &self,
        revision: Option<Revision>,
    ) -> Result<Option<Fetched>, Failure> {
        let query = revision.map(|n| format!("?revision={n}"));
        let path = format!("/v1/document{}", query.unwrap_or_default());
        let res = self.send(Method::GET, &path, |req| req).await?;
        if res.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let res = refuse(res).await?;
        let etag = res.headers().get("etag").and_then(|v| v.to_str().ok());
        let number = etag.and_then(|tag| tag.trim_matches('"').parse().ok());
        let Some(revision) = number else {
            return Err(self.strange("a document without its revision"));
        };
        let text = self.body(res).await?;
        Ok(Some(Fetched { revision, text }))
    }

    pub(super) async fn put_document(
        &self,
        base: Revision,
        text: &str,
        key: &str,
    ) -> Result<Put, Failure> {
        let fill = |req: RequestBuilder| {
            req.header("if-match", format!("\"{base}\""))
                .header("idempotency-key", key)
                .header("content-type", "application/yaml")
                .body(text.to_owned())
        };
        let res = self.send(Method::PUT, "/v1/document", fill).await?;
        if res.status() == StatusCode::PRECONDITION_FAILED {
            return Ok(Put::Stale);
        }
        let body = self.json_body(refuse(res).await?).await?;
        match body["revision"].as_u64() {
            Some(revision) => Ok(Put::Accepted(revision)),
            None => Err(self.strange("an accepted document without its revision")),
        }
    }

    pub(super) async fn get(&self, path: &str) -> Result<Value, Failure> {
        let res = self.send(Method::GET, path, |req| req).await?;
        self.json_body(refuse(res).await?).await
    }

    pub(super) async fn delete(&self, path: &str) -> Result<Value, Failure> {
        let res = self.send(Method::DELETE, path, |req| req).await?;
        self.json_body(refuse(res).await?).await
    }

    pub(super) async fn post(
        &self,
        path: &str,
        body: &impl Serialize,
        key: &str,
    ) -> Result<Value, Failure> {
        let fill = |req: RequestBuilder| req.header("idempotency-key", key).json(body);
        let res = self.send(Method::POST, path, fill).await?;
        self.json_body(refuse(res).await?).await
    }

    /// Sends a request, again while no leader can be reached. Every request of ours may be
    /// repeated: reads and cancellations by nature, the others by their key.
    async fn send(
        &self,
        method: Method,
        path: &str,
        fill: impl Fn(RequestBuilder) -> RequestBuilder,
    ) -> Result<Response, Failure> {
        let url = format!("{}{path}", self.server);
        let mut pause = FIRST_PAUSE;
        let mut last = String::new();
        for attempt in 0..TRIES {
            if attempt > 0 {
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
            let mut req = self.http.request(method.clone(), &url).timeout(TRY_TIMEOUT);
            if let Some(token) = &self.token {
                req = req.bearer_auth(token);
            }
            match fill(req).send().await {
                Ok(res) if !is_passing(res.status()) => return Ok(res),
                Ok(res) => last = error_text(res).await,
                Err(e) => last = root_cause(&e),
            }
        }
        let message = format!(
            "{url}: {last}\ntried {TRIES} times; is the server up? name another by --server or \
             YUCCAHOLD_SERVER"
        );
        Err(Failure::new(ExitCode::Unavailable, message))
    }

    async fn body(&self, res: Response) -> Result<String, Failure> {
        let body = res.text().await;
        body.map_err(|e| self.strange(&root_cause(&e)))
    }

    async fn json_body(&self, res: Response) -> Result<Value, Failure> {
        let text = self.body(res).await?;
        serde_json::from_str(&text).map_err(|e| self.strange(&format!("no JSON: {e}")))
    }

    fn strange(&self, what: &str) -> Failure {
        let message = format!("{} answered something unexpected: {what}", self.server);
        Failure::new(ExitCode::GeneralError, message)
    }
}

/// Whether the same request may fare better in a moment.
fn is_passing(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    )
}

/// Turns a refusal into a failure with its next step.
async fn refuse(res: Response) -> Result<Response, Failure> {
    let status = res.status();
    if status.is_success() {
        return Ok(res);
    }
    let (code, next) = match status {
        StatusCode::UNAUTHORIZED => (
            ExitCode::GeneralError,
            "\nsign in with --token-file or YUCCAHOLD_TOKEN_FILE",
        ),
        StatusCode::FORBIDDEN => (ExitCode::GeneralError, "\nask an admin for the role"),
        StatusCode::UNPROCESSABLE_ENTITY => (ExitCode::Invalid, ""),
        StatusCode::CONFLICT | StatusCode::PRECONDITION_FAILED => (ExitCode::Conflict, ""),
        _ => (ExitCode::GeneralError, ""),
    };
    let message = format!("{}{next}", error_text(res).await);
    Err(Failure::new(code, message))
}

async fn error_text(res: Response) -> String {
    let status = res.status();
    let body = res.text().await.unwrap_or_default();
    let json: Option<Value> = serde_json::from_str(&body).ok();
    let said = json.as_ref().and_then(|j| j["error"].as_str());
    match said {
        Some(said) => format!("{said} ({status})"),
        None => format!("the server answered {status}"),
    }
}

/// The innermost error, which names the failed operation.
fn root_cause(e: &reqwest::Error) -> String {
    let mut cause: &dyn std::error::Error = e;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// A key that no other request has.
pub(super) fn fresh_key() -> String {
    format!("cli-{:032x}", rand::random::<u128>())
}

/// A name as one part of a path.
pub(super) fn path_part(name: &str) -> String {
    let keep = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
    let part = |b: u8| {
        if keep(b) {
            char::from(b).to_string()
        } else {
            format!("%{b:02X}")
        }
    };
    name.bytes().map(part).collect()
}
