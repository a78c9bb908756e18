//! Calls of the operators' HTTP interface, with the rights of the one who makes them.

use std::sync::Arc;

use serde::de::DeserializeOwned;

use super::http::{answer_header, refusal, set_header};
use super::operators::Role;
use super::scope;
use super::sign_in::Identity;
use super::state::ConsoleState;
use crate::document::{self, Document};
use crate::ids::{Revision, TeamName};
use crate::wire::{HttpAnswer, HttpCall, JobSubmission, JobView};

/// Header that names the operator to control.
pub(super) const OPERATOR_HEADER: &str = "yuccahold-operator";

/// The interface as one operator may use it.
pub(super) struct Api<'a, S> {
    pub(super) state: &'a S,
    /// Who asks; none when sign-in is off.
    pub(super) identity: Option<&'a Identity>,
    /// Headers that prove the identity, for a daemon this one passes the call on to.
    pub(super) proof: Vec<(compact_str::CompactString, String)>,
}

/// A document with its revision.
pub(super) struct Revised {
    pub(super) revision: Revision,
    pub(super) document: Arc<Document>,
    pub(super) text: String,
}

impl<S: ConsoleState> Api<'_, S> {
    /// Makes a call if the operator may.
    pub(super) async fn call(&self, mut call: HttpCall) -> HttpAnswer {
        call.headers.extend(self.proof.iter().cloned());
        if let Some(identity) = self.identity {
            if let Err(refused) = self.permit(identity, &call).await {
                return refused;
            }
            set_header(&mut call, OPERATOR_HEADER, &identity.name);
        }
        self.state.operate(call).await
    }

    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, HttpAnswer> {
        let answer = self.call(request("GET", path, Vec::new())).await;
        if answer.status != 200 {
            return Err(answer);
        }
        serde_json::from_slice(&answer.body)
            .map_err(|e| refusal(502, &format!("control answered something unexpected: {e}")))
    }

    /// The document in force, or an earlier one.
    pub(super) async fn document(
        &self,
        revision: Option<Revision>,
    ) -> Result<Option<Revised>, HttpAnswer> {
        let query = revision.map(|n| format!("?revision={n}"));
        let path = format!("/v1/document{}", query.unwrap_or_default());
        let answer = self.call(request("GET", &path, Vec::new())).await;
        match answer.status {
            200 => {}
            404 => return Ok(None),
            _ => return Err(answer),
        }
        let strange = |what: &str| refusal(502, &format!("control answered {what}"));
        let tag = answer_header(&answer, "etag").map(|tag| tag.trim_matches('"').parse());
        let Some(Ok(revision)) = tag else {
            return Err(strange("a document without its revision"));
        };
        let text = String::from_utf8(answer.body).map_err(|_| strange("no text"))?;
        let document = document::parse("document", &text).map_err(|_| strange("a bad document"))?;
        Ok(Some(Revised {
            revision,
            document: Arc::new(document),
            text,
        }))
    }

    pub(super) async fn put_document(&self, base: Revision, text: &str, key: &str) -> HttpAnswer {
        let mut call = request("PUT", "/v1/document", text.as_bytes().to_vec());
        set_header(&mut call, "content-type", "application/yaml");
        set_header(&mut call, "if-match", &format!("\"{base}\""));
        set_header(&mut call, "idempotency-key", key);
        self.call(call).await
    }

    async fn permit(&self, identity: &Identity, call: &HttpCall) -> Result<(), HttpAnswer> {
        let role = identity.operator.role;
        if call.method == "GET" || role == Role::Admin {
            return Ok(());
        }
        if role == Role::View {
            return Err(refusal(403, "your role may see, but change nothing"));
        }
        match call.path.split('?').next() {
            Some("/v1/document") => self.permit_document(identity, call).await,
            Some("/v1/jobs") => self.permit_submit(identity, call).await,
            Some(path) if path.starts_with("/v1/jobs/") => self.permit_cancel(identity, path).await,
            _ => Err(refusal(403, "your role does not extend to this")),
        }
    }

    async fn permit_document(&self, who: &Identity, call: &HttpCall) -> Result<(), HttpAnswer> {
        let teams = &who.operator.teams;
        let text = String::from_utf8_lossy(&call.body);
        // What can't be read changes nothing; control says what is wrong with it.
        let Ok(new) = document::parse("document", &text) else {
            return Ok(());
        };
        let old = self.trusted_document().await?;
        match scope::outside(&old, &new, teams) {
            None => Ok(()),
            Some(what) => Err(refusal(
                403,
                &format!("your role does not extend to {what}"),
            )),
        }
    }

    async fn permit_submit(&self, who: &Identity, call: &HttpCall) -> Result<(), HttpAnswer> {
        let Ok(job) = serde_json::from_slice::<JobSubmission>(&call.body) else {
            return Ok(());
        };
        let team = match job.team {
            Some(team) => Some(team),
            None => {
                let document = self.trusted_document().await?;
                document.kinds.get(&job.kind).map(|k| k.team.clone())
            }
        };
        permit_team(who, team.as_ref())
    }

    async fn permit_cancel(&self, who: &Identity, path: &str) -> Result<(), HttpAnswer> {
        let answer = self.trusted(path).await;
        let view: Option<JobView> = serde_json::from_slice(&answer.body).ok();
        permit_team(who, view.map(|v| v.team).as_ref())
    }

    async fn trusted_document(&self) -> Result<Document, HttpAnswer> {
        let answer = self.trusted("/v1/document").await;
        match answer.status {
            404 => Ok(Document::default()),
            200 => {
                let text = String::from_utf8_lossy(&answer.body);
                document::parse("document", &text)
                    .map_err(|_| refusal(502, "control answered a bad document"))
            }
            _ => Err(answer),
        }
    }

    /// A read on the console's own behalf, to find out what the operator may do.
    async fn trusted(&self, path: &str) -> HttpAnswer {
        let mut call = request("GET", path, Vec::new());
        call.headers.extend(self.proof.iter().cloned());
        self.state.operate(call).await
    }
}

fn permit_team(who: &Identity, team: Option<&TeamName>) -> Result<(), HttpAnswer> {
    let teams = &who.operator.teams;
    match team {
        Some(team) if !teams.is_empty() && !teams.contains(team) => {
            let message = format!("your role does not extend to team `{team}`");
            Err(refusal(403, &message))
        }
        _ => Ok(()),
    }
}

/// A request with nothing but what is given.
pub(super) fn request(method: &str, path: &str, body: Vec<u8>) -> HttpCall {
    HttpCall {
        method: method.into(),
        path: path.to_owned(),
        headers: Vec::new(),
        body,
    }
}

/// The message of a refusal, for a page.
pub(super) fn said(answer: &HttpAnswer) -> String {
    let json: Option<serde_json::Value> = serde_json::from_slice(&answer.body).ok();
    let said = json.as_ref().and_then(|j| j["error"].as_str());
    match said {
        Some(said) => said.to_owned(),
        None => format!("control answered with status {}", answer.status),
    }
}
