//! The console itself: who asks, and which page or call answers.

use std::path::Path;
use std::sync::Arc;

use super::api::{Api, OPERATOR_HEADER};
use super::forms::Typed;
use super::http::{answer, cookie, header_of, redirect, refusal};
use super::layout::{self, Viewer};
use super::operators::Operators;
use super::sign_in::{Denied, Identity, SESSION_LIFE, SignIn, same};
use super::state::ConsoleState;
use super::{document_pages, job_pages, tables};
use crate::document::Problems;
use crate::ids::{Revision, Timestamp};
use crate::wire::{HttpAnswer, HttpCall};

/// Cookie that holds the session.
const SESSION_COOKIE: &str = "yuccahold-session";
/// Header that repeats the form's key where a cookie signs a call of the interface in.
const FORM_KEY_HEADER: &str = "yuccahold-form-key";
/// Headers that show who asks.
const PROOF_HEADERS: [&str; 3] = ["authorization", "cookie", FORM_KEY_HEADER];
/// Largest form in bytes; a document typed as a whole is up to three times its size as a form.
const MAX_FORM: usize = 4 * 1024 * 1024;

/// Console and signed-in HTTP interface of one daemon.
#[derive(Clone)]
pub struct Console<S> {
    inner: Arc<Inner<S>>,
}

struct Inner<S> {
    state: S,
    sign_in: Option<SignIn>,
    /// Key of forms while sign-in is off.
    open_key: String,
}

/// One request on its way to a page.
pub(super) struct Visit<'a, S> {
    pub(super) api: Api<'a, S>,
    pub(super) viewer: Viewer,
    pub(super) form: Typed,
    query: String,
}

impl<S: ConsoleState> Console<S> {
    /// A console without sign-in, for a daemon that serves only loopback.
    pub fn open(state: S) -> Self {
        let open_key = format!("{:032x}", rand::random::<u128>());
        Self {
            inner: Arc::new(Inner {
                state,
                sign_in: None,
                open_key,
            }),
        }
    }

    /// A console for the operators in a file's text.
    pub fn signed(state: S, name: &str, text: &str) -> Result<Self, Problems> {
        let operators = Operators::parse(name, text)?;
        Ok(Self {
            inner: Arc::new(Inner {
                state,
                sign_in: Some(SignIn::new(operators, text)),
                open_key: String::new(),
            }),
        })
    }

    /// A console as the daemon's settings say: for the operators in a file, or open.
    pub fn load(state: S, operators: Option<&Path>) -> Result<Self, Problems> {
        match operators {
            None => Ok(Self::open(state)),
            Some(path) => {
                crate::schema::read_file(path, |name, text| Self::signed(state, name, text))
            }
        }
    }

    /// Answers a request for a page, or one of the interface under `/v1`. `now` is Unix time.
    pub async fn answer(&self, now: Timestamp, call: HttpCall) -> HttpAnswer {
        let path = call.path.split('?').next().unwrap_or("").to_owned();
        match (call.method.as_str(), path.as_str()) {
            ("GET", "/") => redirect("/console"),
            ("GET", "/console/style.css") => style(),
            (_, path) if path == "/console" || path.starts_with("/console/") => {
                self.page(now, path, &call).await
            }
            _ => self.interface(now, call).await,
        }
    }

    /// The interface under `/v1`: signed in by token, or by a page's session and form key.
    async fn interface(&self, now: Timestamp, mut call: HttpCall) -> HttpAnswer {
        let Some(sign_in) = &self.inner.sign_in else {
            // While sign-in is off, a page of another site open in the operator's browser
            // could post to loopback. Browsers mark such requests; programs send no mark.
            let site = header_of(&call, "sec-fetch-site");
            if call.method != "GET" && !matches!(site, None | Some("same-origin" | "none")) {
                return refusal(403, "this request comes from a page of another site");
            }
            return self.inner.state.operate(call).await;
        };
        let bearer = header_of(&call, "authorization").and_then(|v| v.strip_prefix("Bearer "));
        let identity = match bearer {
            Some(token) => match sign_in.token(now, token.trim()) {
                Ok(identity) => identity,
                Err(denied) => return denied_call(denied),
            },
            None => match self.session_call(sign_in, now, &call) {
                Ok(identity) => identity,
                Err(refused) => return refused,
            },
        };
        // What proves the identity goes along with every call made for it, so that the leader
        // can check it again.
        let proves = |name: &str| PROOF_HEADERS.contains(&name);
        let proof = call.headers.iter().filter(|(key, _)| proves(key)).cloned();
        let proof = proof.collect();
        call.headers
            .retain(|(key, _)| key != OPERATOR_HEADER && !proves(key));
        let api = Api {
            state: &self.inner.state,
            identity: Some(&identity),
            proof,
        };
        api.call(call).await
    }

    fn session_call(
        &self,
        sign_in: &SignIn,
        now: Timestamp,
        call: &HttpCall,
    ) -> Result<Identity, HttpAnswer> {
        let cookie = cookie(call, SESSION_COOKIE).unwrap_or_default();
        let Some(identity) = sign_in.resume(now, cookie) else {
            let mut answer = refusal(401, "sign in with a token");
            answer
                .headers
                .push(("www-authenticate".into(), "Bearer".to_owned()));
            return Err(answer);
        };
        let given = header_of(call, FORM_KEY_HEADER).unwrap_or_default();
        if call.method != "GET" && !same(given, &sign_in.form_key(cookie)) {
            return Err(refusal(
                403,
                "this request comes from a page of another site",
            ));
        }
        Ok(identity)
    }

    async fn page(&self, now: Timestamp, path: &str, call: &HttpCall) -> HttpAnswer {
        let cookie = cookie(call, SESSION_COOKIE).unwrap_or_default();
        let identity = self
            .inner
            .sign_in
            .as_ref()
            .and_then(|s| s.resume(now, cookie));
        let form_key = match &self.inner.sign_in {
            Some(sign_in) => sign_in.form_key(cookie),
            None => self.inner.open_key.clone(),
        };
        let viewer = Viewer {
            name: identity.as_ref().map(|i| i.name.to_string()),
            form_key: form_key.clone(),
            path: path.to_owned(),
            watch: call.path.ends_with("?watch=1"),
        };
        if call.body.len() > MAX_FORM {
            let message = format!("A form has at most {MAX_FORM} bytes.");
            return layout::notice(413, &viewer, "Too large", &message);
        }
        let form: Typed = form_urlencoded::parse(&call.body).into_owned().collect();
        if let Some(sign_in) = &self.inner.sign_in {
            match (call.method.as_str(), path) {
                ("GET", "/console/sign-in") => return sign_in_page(200, &viewer, ""),
                ("POST", "/console/sign-in") => return enter(sign_in, now, &viewer, &form),
                _ if identity.is_none() => return redirect("/console/sign-in"),
                _ => {}
            }
        }
        if call.method != "GET" {
            let given = form.get("form_key").map_or("", String::as_str);
            if call.method != "POST" || !same(given, &form_key) {
                let message = "This form was not made by this console, or its session is over. \
                               Nothing was changed. Open the page anew and send it again.";
                return layout::notice(403, &viewer, "Not accepted", message);
            }
        }
        let proof = match header_of(call, "cookie") {
            Some(value) if identity.is_some() => vec![
                ("cookie".into(), value.to_owned()),
                (FORM_KEY_HEADER.into(), form_key),
            ],
            _ => Vec::new(),
        };
        let visit = Visit {
            api: Api {
                state: &self.inner.state,
                identity: identity.as_ref(),
                proof,
            },
            viewer,
            form,
            query: call
                .path
                .split_once('?')
                .map_or_else(String::new, |(_, q)| q.to_owned()),
        };
        route(visit, &call.method, path).await
    }
}

async fn route<S: ConsoleState>(visit: Visit<'_, S>, method: &str, path: &str) -> HttpAnswer {
    let rest = path.trim_start_matches("/console").trim_matches('/');
    let parts: Vec<&str> = rest.split('/').collect();
    let answered = match (method, parts.as_slice()) {
        ("GET", [""]) => tables::overview(&visit).await,
        ("GET", ["jobs"]) => job_pages::list(&visit).await,
        ("GET", ["jobs", "new"]) => job_pages::new(&visit).await,
        ("POST", ["jobs", "new"]) => job_pages::submit(&visit).await,
        ("GET", ["jobs", "of", name]) => job_pages::one(&visit, name).await,
        ("POST", ["jobs", "of", name]) => job_pages::cancel(&visit, name).await,
        ("GET", ["workers"]) => tables::workers(&visit).await,
        ("GET", ["minions"]) => tables::minions(&visit).await,
        ("GET", ["entries"]) => tables::entries(&visit).await,
        ("GET", ["replicas"]) => tables::replicas(&visit).await,
        ("GET", ["teams"]) => tables::teams(&visit).await,
        ("GET", ["burn"]) => tables::burn(&visit).await,
        ("GET", ["history"]) => tables::history(&visit).await,
        ("GET", ["audit"]) => tables::audit(&visit).await,
        ("GET", ["document"]) => document_pages::overview(&visit).await,
        ("GET", ["document", "yaml"]) => document_pages::yaml(&visit).await,
        ("GET", ["document", "part", section]) => document_pages::edit(&visit, section, "").await,
        ("GET", ["document", "part", section, name]) => {
            document_pages::edit(&visit, section, name).await
        }
        ("POST", ["document", "preview"]) => document_pages::preview(&visit).await,
        ("POST", ["document", "apply"]) => document_pages::apply(&visit).await,
        ("POST", ["sign-out"]) => Ok(leave()),
        _ => Ok(layout::notice(
            404,
            &visit.viewer,
            "Not found",
            "There is no such page.",
        )),
    };
    answered.unwrap_or_else(|failed| {
        let message = super::api::said(&failed);
        layout::notice(failed.status, &visit.viewer, "That did not work", &message)
    })
}

fn style() -> HttpAnswer {
    let mut answer = answer(
        200,
        "text/css; charset=utf-8",
        layout::STYLE.as_bytes().to_vec(),
    );
    answer.headers.retain(|(key, _)| key != "cache-control");
    let keep = ("cache-control".into(), "max-age=300".to_owned());
    answer.headers.push(keep);
    answer
}

fn sign_in_page(status: u16, viewer: &Viewer, wrong: &str) -> HttpAnswer {
    let body = maud::html! {
        @if !wrong.is_empty() { p.wrong role="alert" { (wrong) } }
        form method="post" action="/console/sign-in" {
            div.field {
                label for="token" { "Token" }
                input id="token" name="token" type="password" required autofocus
                    autocomplete="current-password";
                p.hint { "From the one who runs the cell; made by " code { "yuccahold token" } "." }
            }
            button.main { "Sign in" }
        }
    };
    layout::page(status, viewer, "Sign in", &body)
}

fn enter(sign_in: &SignIn, now: Timestamp, viewer: &Viewer, form: &Typed) -> HttpAnswer {
    let token = form.get("token").map_or("", |t| t.trim());
    match sign_in.token(now, token) {
        Ok(identity) => {
            let session = sign_in.session(now, &identity);
            let mut answer = redirect("/console");
            answer.headers.push((
                "set-cookie".into(),
                session_cookie(&session, SESSION_LIFE.as_secs()),
            ));
            answer
        }
        Err(Denied::Wrong) => sign_in_page(401, viewer, "This token is not known here."),
        Err(Denied::TooMany(wait)) => {
            let message = format!(
                "Too many wrong tokens. Try again in {} s.",
                wait.as_secs() + 1
            );
            let mut answer = sign_in_page(429, viewer, &message);
            answer.headers.push(retry_after(wait));
            answer
        }
    }
}

fn leave() -> HttpAnswer {
    let mut answer = redirect("/console/sign-in");
    let gone = ("set-cookie".into(), session_cookie("", 0));
    answer.headers.push(gone);
    answer
}

fn session_cookie(value: &str, seconds: u64) -> String {
    format!("{SESSION_COOKIE}={value}; Path=/; HttpOnly; SameSite=Strict; Max-Age={seconds}")
}

fn denied_call(denied: Denied) -> HttpAnswer {
    match denied {
        Denied::Wrong => refusal(401, "this token is not known here"),
        Denied::TooMany(wait) => {
            let mut answer = refusal(429, "too many wrong tokens; try again later");
            answer.headers.push(retry_after(wait));
            answer
        }
    }
}

fn retry_after(wait: Timestamp) -> (compact_str::CompactString, String) {
    ("retry-after".into(), (wait.as_secs() + 1).to_string())
}

/// The answer of a page, or the refusal of the interface behind it.
pub(super) type Paged = Result<HttpAnswer, HttpAnswer>;

impl<S> Visit<'_, S> {
    pub(super) fn page(&self, title: &str, body: &maud::Markup) -> Paged {
        Ok(layout::page(200, &self.viewer, title, body))
    }

    /// The revision that the page's query asks for.
    pub(super) fn query_revision(&self) -> Option<Revision> {
        let pairs = form_urlencoded::parse(self.query.as_bytes());
        let mut wanted = pairs.filter(|(name, _)| name == "revision");
        wanted.next().and_then(|(_, value)| value.parse().ok())
    }

    pub(super) fn text(&self, name: &str) -> &str {
        self.form.get(name).map_or("", String::as_str)
    }
}
