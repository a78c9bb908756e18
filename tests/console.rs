//! The console's forms over a small stand-in of the operators' HTTP interface.

use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use yuccahold::console::{Console, ConsoleState, NewToken, new_token, routes};
use yuccahold::document::{self, Document};
use yuccahold::ids::Timestamp;
use yuccahold::wire::{HttpAnswer, HttpCall, JobSubmission, JobView};

const NOW: Timestamp = Duration::from_secs(1_796_000_000);

/// Documents and jobs, with the operator who changed each.
#[derive(Clone, Default)]
struct Held(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    texts: Vec<(String, String)>,
    jobs: Vec<(JobSubmission, String)>,
}

impl Held {
    fn with(example: &str) -> Self {
        let path = format!("{}/examples/{example}", env!("CARGO_MANIFEST_DIR"));
        let held = Self::default();
        held.put("first", &std::fs::read_to_string(path).unwrap());
        held
    }

    fn put(&self, who: &str, text: &str) {
        let mut state = self.0.lock().unwrap();
        state.texts.push((who.to_owned(), text.to_owned()));
    }

    fn revision(&self) -> usize {
        self.0.lock().unwrap().texts.len()
    }

    fn latest(&self) -> Document {
        let state = self.0.lock().unwrap();
        document::parse("latest", &state.texts.last().unwrap().1).unwrap()
    }

    fn answer(&self, call: &HttpCall) -> HttpAnswer {
        let mut state = self.0.lock().unwrap();
        let (path, query) = call.path.split_once('?').unwrap_or((&call.path, ""));
        let who = header(call, "yuccahold-operator").unwrap_or_default();
        match (call.method.as_str(), path) {
            ("GET", "/v1/document") => {
                let wanted = query.strip_prefix("revision=").map(|n| n.parse().unwrap());
                let n: usize = wanted.unwrap_or(state.texts.len());
                match n.checked_sub(1).and_then(|i| state.texts.get(i)) {
                    Some((_, text)) => plain(200, text, &format!("\"{n}\"")),
                    None => plain(404, "{}", ""),
                }
            }
            ("PUT", "/v1/document") => {
                if header(call, "if-match") != Some(format!("\"{}\"", state.texts.len())) {
                    return plain(412, "{}", "");
                }
                let text = String::from_utf8(call.body.clone()).unwrap();
                state.texts.push((who, text));
                plain(200, &json!({"revision": state.texts.len()}).to_string(), "")
            }
            ("POST", "/v1/jobs") => {
                let job: JobSubmission = serde_json::from_slice(&call.body).unwrap();
                let view = JobView {
                    name: job.name.clone().unwrap_or_default(),
                    kind: job.kind.clone(),
                    ..JobView::default()
                };
                if job.tasks == Some(0) {
                    return plain(422, r#"{"error":"a job has a task"}"#, "");
                }
                state.jobs.push((job, who));
                plain(200, &serde_json::to_string(&view).unwrap(), "")
            }
            ("GET", "/v1/jobs/theirs") => {
                let view = JobView {
                    name: "theirs".into(),
                    team: "workshops".into(),
                    ..JobView::default()
                };
                plain(200, &serde_json::to_string(&view).unwrap(), "")
            }
            ("GET", _) => plain(200, "[]", ""),
            _ => plain(404, "{}", ""),
        }
    }
}

impl ConsoleState for Held {
    async fn operate(&self, call: HttpCall) -> HttpAnswer {
        self.answer(&call)
    }
}

fn header(call: &HttpCall, name: &str) -> Option<String> {
    let found = call.headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.clone())
}

fn plain(status: u16, body: &str, etag: &str) -> HttpAnswer {
    HttpAnswer {
        status,
        headers: vec![("etag".into(), etag.to_owned())],
        body: body.as_bytes().to_vec(),
    }
}

/// A browser without scripts: one operator's cookie, pages and forms.
struct Browser {
    console: Console<Held>,
    cookie: String,
    now: Timestamp,
}

struct Page {
    status: u16,
    html: String,
    headers: Vec<(String, String)>,
}

impl Page {
    fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Names and values of the inputs, text areas and selections, as a browser would send them.
    fn fields(&self) -> Vec<(String, String)> {
        let mut fields = Vec::new();
        for tag in self.html.split('<').skip(1) {
            let attribute = |name: &str| {
                let (_, rest) = tag.split_once(&format!(" {name}=\""))?;
                Some(unescape(rest.split('"').next()?))
            };
            if tag.starts_with("input") {
                if let Some(name) = attribute("name") {
                    fields.push((name, attribute("value").unwrap_or_default()));
                }
            } else if tag.starts_with("select") {
                fields.push((attribute("name").unwrap(), String::new()));
            } else if tag.starts_with("option") {
                let last = fields.last_mut().unwrap();
                if tag.contains(" selected") || last.1.is_empty() {
                    last.1 = attribute("value").unwrap();
                }
            } else if tag.starts_with("textarea") {
                let text = tag.split_once('>').unwrap().1;
                let text = text.strip_prefix('\n').unwrap_or(text);
                fields.push((attribute("name").unwrap(), unescape(text)));
            }
        }
        fields
    }
}

fn unescape(text: &str) -> String {
    text.replace("&quot;", "\"")
        .replace("&lt;", "<")
        .replace("&gt;", ">")
        .replace("&amp;", "&")
}

impl Browser {
    fn open(held: &Held) -> Self {
        Self {
            console: Console::open(held.clone()),
            cookie: String::new(),
            now: NOW,
        }
    }

    /// A browser that has signed in with a token.
    async fn signed(console: &Console<Held>, token: &str) -> Self {
        let mut browser = Self {
            console: console.clone(),
            cookie: String::new(),
            now: NOW,
        };
        let page = browser.send("/console/sign-in", &[("token", token)]).await;
        assert_eq!(page.status, 303, "{}", page.html);
        let cookie = page.header("set-cookie").to_owned();
        assert!(cookie.contains("HttpOnly; SameSite=Strict"), "{cookie}");
        browser.cookie = cookie.split(';').next().unwrap().to_owned();
        browser
    }

    async fn call(&self, method: &str, path: &str, body: Vec<u8>) -> Page {
        let answer = self.console.answer(
            self.now,
            HttpCall {
                method: method.into(),
                path: path.to_owned(),
                headers: vec![("cookie".into(), self.cookie.clone())],
                body,
            },
        );
        let answer = answer.await;
        Page {
            status: answer.status,
            html: String::from_utf8(answer.body).unwrap(),
            headers: answer
                .headers
                .into_iter()
                .map(|(k, v)| (k.to_string(), v))
                .collect(),
        }
    }

    async fn get(&self, path: &str) -> Page {
        self.call("GET", path, Vec::new()).await
    }

    /// Posts exactly these fields.
    async fn send(&self, path: &str, fields: &[(&str, &str)]) -> Page {
        let mut form = form_urlencoded::Serializer::new(String::new());
        form.extend_pairs(fields);
        self.call("POST", path, form.finish().into_bytes()).await
    }

    /// Posts the page's own fields with some typed over.
    async fn fill(&self, page: &Page, path: &str, typed: &[(&str, &str)]) -> Page {
        let mut fields = page.fields();
        for (name, value) in typed {
            match fields.iter_mut().find(|(n, _)| n == name) {
                Some(field) => field.1 = (*value).to_owned(),
                None => fields.push(((*name).to_owned(), (*value).to_owned())),
            }
        }
        let fields: Vec<_> = fields.iter().map(|(n, v)| (&**n, &**v)).collect();
        self.send(path, &fields).await
    }
}

const PREVIEW: &str = "/console/document/preview";
const APPLY: &str = "/console/document/apply";

#[rstest]
#[case("massfenster.yaml")]
#[case("torres.yaml")]
#[tokio::test]
async fn every_form_sent_back_unchanged_makes_no_difference(#[case] example: &str) {
    let held = Held::with(example);
    let browser = Browser::open(&held);
    let whole = browser.get("/console/document").await;
    let links = whole.html.split("href=\"").skip(1);
    let links: Vec<_> = links
        .map(|rest| rest.split('"').next().unwrap())
        .filter(|link| {
            let part = link.strip_prefix("/console/document/part/");
            part.is_some_and(|p| p.contains('/') || ["cell", "policy"].contains(&p))
                || link.ends_with("/yaml")
        })
        .collect();
    assert!(links.len() > 15, "{links:?}");
    for link in links {
        let form = browser.get(link).await;
        assert_eq!(form.status, 200, "{link}");
        let page = browser.fill(&form, PREVIEW, &[]).await;
        assert!(page.html.contains("No difference"), "{link}: {}", page.html);
    }
}

#[tokio::test]
async fn a_batch_kind_is_added_by_form_and_its_job_submitted() {
    let held = Held::with("massfenster.yaml");
    let browser = Browser::open(&held);
    let form = browser.get("/console/document/part/kinds").await;
    let typed = [
        ("name", "night-report"),
        ("f.team", "bookkeeping"),
        ("f.need.cores", "2"),
        ("f.need.memory", "4 GB"),
        ("f.run_time", "10 min"),
        ("f.zones", "bern-a, bernb"),
    ];
    let refused = browser.fill(&form, PREVIEW, &typed).await;
    assert_eq!(refused.status, 422);
    assert!(
        refused.html.contains("the unit is missing"),
        "{}",
        refused.html
    );
    assert!(
        refused
            .fields()
            .contains(&("f.zones".into(), "bern-a, bernb".into()))
    );
    let mended = [("f.need.cores", "2 cores")];
    let dangling = browser.fill(&refused, PREVIEW, &mended).await;
    assert!(
        dangling.html.contains("did you mean `bern-b`?"),
        "{}",
        dangling.html
    );
    let mended = [("f.zones", "bern-a, bern-b")];
    let preview = browser.fill(&dangling, PREVIEW, &mended).await;
    assert!(
        preview.html.contains("+ kinds.night-report:"),
        "{}",
        preview.html
    );
    assert_eq!(held.revision(), 1, "a preview changes nothing");

    let done = browser.fill(&preview, APPLY, &[]).await;
    assert_eq!(done.status, 303, "{}", done.html);
    let kind = &held.latest().kinds["night-report"];
    assert_eq!(kind.zones, ["bern-a", "bern-b"]);
    assert_eq!(kind.max_attempts, 3);

    let form = browser.get("/console/jobs/new").await;
    let typed = [("kind", "night-report"), ("job", "r1"), ("tasks", "0")];
    let refused = browser.fill(&form, "/console/jobs/new", &typed).await;
    assert!(
        refused.html.contains("a job has a task"),
        "{}",
        refused.html
    );
    let accepted = browser
        .fill(&refused, "/console/jobs/new", &[("tasks", "2")])
        .await;
    assert_eq!(accepted.header("location"), "/console/jobs/of/r1");
    assert_eq!(held.0.lock().unwrap().jobs[0].0.kind, "night-report");
}

#[tokio::test]
async fn parts_are_renamed_and_removed_with_their_references_checked() {
    let held = Held::with("torres.yaml");
    let browser = Browser::open(&held);
    let form = browser.get("/console/document/part/teams/ledgers").await;
    let renamed = browser.fill(&form, PREVIEW, &[("name", "landlords")]).await;
    assert_eq!(renamed.status, 422);
    assert!(
        renamed.html.contains("no team `ledgers` is declared"),
        "{}",
        renamed.html
    );
    let taken = browser
        .fill(&form, PREVIEW, &[("name", "structures")])
        .await;
    assert!(taken.html.contains("This name is taken"), "{}", taken.html);

    let form = browser.get("/console/document/part/objectives/1").await;
    let preview = browser.fill(&form, PREVIEW, &[("action", "remove")]).await;
    assert!(
        preview.html.contains("- objectives[reviews-started]"),
        "{}",
        preview.html
    );
    browser.fill(&preview, APPLY, &[]).await;
    assert_eq!(held.latest().objectives.len(), 1);
}

#[tokio::test]
async fn the_slower_of_two_operators_keeps_what_was_typed_and_loses_nothing() {
    // Both open the form at revision 1. The first one's change becomes revision 2 while the
    // second one looks at the difference. The second is refused, sees the first one's change,
    // sends the same again on top of it, and both changes are in force.
    let held = Held::with("massfenster.yaml");
    let (first, second) = (Browser::open(&held), Browser::open(&held));
    let path = "/console/document/part/services/massrechner";
    let form = second.get(path).await;
    let preview = second.fill(&form, PREVIEW, &[("f.deadline", "3 s")]).await;

    let form = first.get("/console/document/part/policy").await;
    let faster = first
        .fill(&form, PREVIEW, &[("f.waiting_weight", "70")])
        .await;
    first.fill(&faster, APPLY, &[]).await;
    assert_eq!(held.revision(), 2);

    let refused = second.fill(&preview, APPLY, &[]).await;
    assert_eq!(refused.status, 409);
    assert!(
        refused
            .html
            .contains("~ policy.waiting_weight: 80 -&gt; 70"),
        "{}",
        refused.html
    );
    assert!(
        refused
            .fields()
            .contains(&("f.deadline".into(), "3 s".into()))
    );
    assert_eq!(held.revision(), 2);

    let preview = second.fill(&refused, PREVIEW, &[]).await;
    let done = second.fill(&preview, APPLY, &[]).await;
    assert_eq!(done.status, 303);
    let latest = held.latest();
    assert_eq!(latest.policy.waiting_weight, 70);
    assert_eq!(
        latest.services["massrechner"].deadline,
        Duration::from_secs(3)
    );
}

#[tokio::test]
async fn a_form_from_another_site_changes_nothing() {
    let held = Held::with("massfenster.yaml");
    let browser = Browser::open(&held);
    let form = browser.get("/console/document/part/policy").await;
    let mut typed = vec![("f.waiting_weight", "1"), ("form_key", "guessed")];
    let forged = browser.fill(&form, PREVIEW, &typed).await;
    assert_eq!(forged.status, 403);
    typed[1].1 = "";
    assert_eq!(browser.fill(&form, APPLY, &typed).await.status, 403);
    // A page of another site can make a browser post to the interface, too; browsers say so.
    let mut call = HttpCall {
        method: "POST".into(),
        path: "/v1/jobs".into(),
        headers: vec![("sec-fetch-site".into(), "cross-site".into())],
        body: b"{}".to_vec(),
    };
    let answer = browser.console.answer(NOW, call.clone()).await;
    assert_eq!(answer.status, 403);
    call.path = "/console/document/apply".to_owned();
    assert_eq!(browser.console.answer(NOW, call).await.status, 403);
    assert_eq!(held.revision(), 1);
}

/// Tokens of three operators, hashed once for all tests.
fn tokens() -> &'static [NewToken; 3] {
    static TOKENS: OnceLock<[NewToken; 3]> = OnceLock::new();
    TOKENS.get_or_init(|| ["anna", "beat", "carla"].map(|name| new_token(name).unwrap()))
}

/// Anna administers, Beat operates for two teams, Carla looks.
fn operators_file() -> String {
    let [anna, beat, carla] = tokens();
    format!(
        "operators:\n  anna: {{role: admin, token_hash: \"{}\"}}\n  beat: {{role: operate, teams: \
         [fitting, bookkeeping], token_hash: \"{}\"}}\n  carla: {{role: view, token_hash: \"{}\"}}\n",
        anna.hash, beat.hash, carla.hash
    )
}

fn signed_console(held: &Held) -> Console<Held> {
    Console::signed(held.clone(), "operators.yaml", &operators_file()).unwrap()
}

#[tokio::test]
async fn operators_sign_in_and_their_sessions_end() {
    let held = Held::with("massfenster.yaml");
    let console = signed_console(&held);
    let stranger = Browser {
        console: console.clone(),
        cookie: String::new(),
        now: NOW,
    };
    assert_eq!(
        stranger.get("/console/jobs").await.header("location"),
        "/console/sign-in"
    );
    assert_eq!(stranger.get("/v1/jobs").await.status, 401);

    let mut anna = Browser::signed(&console, &tokens()[0].token).await;
    let page = anna.get("/console").await;
    assert_eq!(page.status, 200);
    assert!(page.html.contains("Sign out") && page.html.contains("anna"));
    assert_eq!(anna.get("/v1/document").await.status, 200);
    // A cookie alone signs in reads of the interface, but no change.
    assert_eq!(
        anna.call("PUT", "/v1/document", Vec::new()).await.status,
        403
    );

    let good = anna.cookie.clone();
    anna.cookie = good.replace("anna", "beat");
    assert_eq!(
        anna.get("/console").await.status,
        303,
        "a forged session is refused"
    );
    anna.cookie = good;
    anna.now = NOW + Duration::from_secs(8 * 3600);
    assert_eq!(anna.get("/console").await.status, 303, "a session ends");
}

#[tokio::test]
async fn guessing_tokens_is_slowed_down_and_tells_no_secret() {
    let held = Held::with("massfenster.yaml");
    let console = signed_console(&held);
    let token = &tokens()[0].token;
    let anna = Browser::signed(&console, token).await;
    let mut guesser = Browser {
        console,
        cookie: String::new(),
        now: NOW,
    };
    for _ in 0..5 {
        let page = guesser
            .send("/console/sign-in", &[("token", "anna.0123")])
            .await;
        assert_eq!(page.status, 401);
        assert!(!page.html.contains("0123"), "{}", page.html);
    }
    let limited = guesser
        .send("/console/sign-in", &[("token", "anna.0123")])
        .await;
    assert_eq!(limited.status, 429);
    assert_eq!(limited.header("retry-after"), "61");
    assert_eq!(
        anna.get("/console").await.status,
        200,
        "the session goes on"
    );
    guesser.now += Duration::from_secs(61);
    let page = guesser.send("/console/sign-in", &[("token", token)]).await;
    assert_eq!(page.status, 303);
}

#[tokio::test]
async fn roles_and_teams_bound_what_an_operator_may_change() {
    let held = Held::with("massfenster.yaml");
    let console = signed_console(&held);
    let [_, beat, carla] = tokens();
    let carla = Browser::signed(&console, &carla.token).await;
    let form = carla.get("/console/document/part/policy").await;
    let preview = carla
        .fill(&form, PREVIEW, &[("f.waiting_weight", "1")])
        .await;
    let refused = carla.fill(&preview, APPLY, &[]).await;
    assert_eq!(refused.status, 403);
    assert!(
        refused.html.contains("your role may see"),
        "{}",
        refused.html
    );

    let beat = Browser::signed(&console, &beat.token).await;
    let form = beat.get("/console/document/part/kinds/cut-plan").await;
    for (typed, touched) in [
        (
            ("f.max_attempts", "9"),
            "`kinds.cut-plan`, which is another team",
        ),
        (
            ("f.team", "fitting"),
            "`kinds.cut-plan`, which is another team",
        ),
    ] {
        let preview = beat.fill(&form, PREVIEW, &[typed]).await;
        let refused = beat.fill(&preview, APPLY, &[]).await;
        assert_eq!(refused.status, 403);
        assert!(refused.html.contains(touched), "{}", refused.html);
    }
    let form = beat.get("/console/document/part/policy").await;
    let preview = beat.fill(&form, PREVIEW, &[("f.lease", "20 s")]).await;
    assert_eq!(beat.fill(&preview, APPLY, &[]).await.status, 403);
    assert_eq!(held.revision(), 1);

    let form = beat
        .get("/console/document/part/kinds/reconciliation")
        .await;
    let preview = beat.fill(&form, PREVIEW, &[("f.max_attempts", "9")]).await;
    assert_eq!(beat.fill(&preview, APPLY, &[]).await.status, 303);
    assert_eq!(
        held.0.lock().unwrap().texts[1].0,
        "beat",
        "the change bears its author's name"
    );

    let form = beat.get("/console/jobs/new").await;
    let theirs = beat
        .fill(&form, "/console/jobs/new", &[("kind", "cut-plan")])
        .await;
    assert_eq!(theirs.status, 403);
    let theirs = beat.get("/console/jobs/of/theirs").await;
    let cancelled = beat.fill(&theirs, "/console/jobs/of/theirs", &[]).await;
    assert_eq!(cancelled.status, 403);
    assert!(held.0.lock().unwrap().jobs.is_empty());
}

#[tokio::test]
async fn the_filter_serves_pages_and_bounds_bodies() {
    let held = Held::with("massfenster.yaml");
    let console = signed_console(&held);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(warp::serve(routes(console)).incoming(listener).run());
    let client = reqwest::Client::new();
    let page = client
        .get(format!("{url}/console/sign-in"))
        .send()
        .await
        .unwrap();
    assert!(
        page.headers()["content-security-policy"]
            .to_str()
            .unwrap()
            .contains("'none'")
    );
    let document = client.get(format!("{url}/v1/document"));
    let answer = document
        .bearer_auth(&tokens()[2].token)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.headers()["etag"], "\"1\"");
    let huge = client.post(format!("{url}/console/sign-in"));
    let huge = huge.body(vec![b'a'; 5 * 1024 * 1024]).send().await;
    // The server may close the connection before it has taken the whole body.
    assert!(huge.is_err() || huge.is_ok_and(|r| r.status() == 413));
    let bad = Console::signed(
        held,
        "operators.yaml",
        "operators: {a: {role: amin, token_hash: x}}",
    );
    let text = bad.err().unwrap().to_text();
    assert!(
        text.contains("did you mean `admin`?") && text.contains("no hash made by"),
        "{text}"
    );
}
