//! The command line as scripts and people see it, against a small stand-in of the operators'
//! HTTP interface.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};

use rstest::rstest;
use serde_json::json;
use warp::Filter;
use warp::http::{Response, StatusCode};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_yuccahold"))
        .args(args)
        .env_remove("YUCCAHOLD_SERVER")
        .env_remove("YUCCAHOLD_TOKEN_FILE")
        .stdin(std::process::Stdio::null())
        .output()
        .unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Document revisions and submitted jobs, as a control replica would hold them.
#[derive(Default)]
struct Held {
    texts: Vec<String>,
    jobs: Vec<serde_json::Value>,
    /// Answers 503 this many times before it works.
    failures: usize,
    /// Another operator's document, put in force just before the next change arrives.
    rival: Option<String>,
}

type Shared = Arc<Mutex<Held>>;

/// Serves the interface on loopback and gives its URL.
async fn serve(held: Shared) -> String {
    let state = warp::any().map(move || Arc::clone(&held));
    let get = warp::get()
        .and(warp::path!("v1" / "document"))
        .and(state.clone())
        .and(warp::query::<std::collections::HashMap<String, usize>>())
        .map(
            |held: Shared, query: std::collections::HashMap<String, usize>| {
                let mut held = held.lock().unwrap();
                if held.failures > 0 {
                    held.failures -= 1;
                    return answer(StatusCode::SERVICE_UNAVAILABLE, "", "{}");
                }
                let n = query.get("revision").copied().unwrap_or(held.texts.len());
                match n.checked_sub(1).and_then(|i| held.texts.get(i)) {
                    Some(text) => answer(StatusCode::OK, &format!("\"{n}\""), text),
                    None => answer(StatusCode::NOT_FOUND, "", r#"{"error":"no such revision"}"#),
                }
            },
        );
    let put = warp::put()
        .and(warp::path!("v1" / "document"))
        .and(state.clone())
        .and(warp::header::<String>("if-match"))
        .and(warp::body::bytes())
        .map(|held: Shared, base: String, body: bytes::Bytes| {
            let mut held = held.lock().unwrap();
            if let Some(rival) = held.rival.take() {
                held.texts.push(rival);
            }
            if base != format!("\"{}\"", held.texts.len()) {
                return answer(StatusCode::PRECONDITION_FAILED, "", "{}");
            }
            held.texts.push(String::from_utf8(body.to_vec()).unwrap());
            let revision = json!({ "revision": held.texts.len() });
            answer(StatusCode::OK, "", &revision.to_string())
        });
    let post = warp::post()
        .and(warp::path!("v1" / "jobs"))
        .and(state)
        .and(warp::header::<String>("idempotency-key"))
        .and(warp::body::json())
        .map(|held: Shared, key: String, job: serde_json::Value| {
            assert_eq!(job["key"], key);
            let mut view = serde_json::to_value(yuccahold::wire::JobView::default()).unwrap();
            view["name"] = job["name"].clone();
            view["kind"] = job["kind"].clone();
            held.lock().unwrap().jobs.push(job);
            answer(StatusCode::OK, "", &view.to_string())
        });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(warp::serve(get.or(put).or(post)).incoming(listener).run());
    url
}

fn answer(status: StatusCode, etag: &str, body: &str) -> Response<String> {
    let res = Response::builder().status(status).header("etag", etag);
    res.body(body.to_owned()).unwrap()
}

async fn run_at(url: &str, args: &[&str]) -> Output {
    let mut args: Vec<String> = args.iter().map(|a| (*a).to_owned()).collect();
    args.extend(["--server".to_owned(), url.to_owned()]);
    let work = move || run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    tokio::task::spawn_blocking(work).await.unwrap()
}

#[test]
fn the_help_is_readable() {
    let output = run(&["--help"]);
    assert_eq!(code(&output), 0);
    insta::assert_snapshot!("help", stdout(&output));
    insta::assert_snapshot!("help_apply", stdout(&run(&["apply", "--help"])));
    assert!(stdout(&run(&["--version"])).starts_with("yuccahold "));
}

#[rstest]
#[case(&["aply"], "did you mean `apply`?")]
#[case(&["apply"], "`FILE|FOLDER` is missing")]
#[case(&["apply", "a", "b"], "unexpected argument `b`")]
#[case(&["apply", "a", "--yess"], "did you mean `--yes`?")]
#[case(&["rollback", "-1"], "unknown option `-1`")]
#[case(&["rollback", "x"], "N `x` is no number")]
#[case(&["show", "--revision"], "missing argument")]
#[case(&["show", "--format", "xml"], "none of text, json")]
#[case(&["drain"], "name a WORKER")]
#[case(&["drain", "w", "--within", "5"], "the unit is missing")]
#[case(&["status", "--watch", "--watch"], "given twice")]
#[case(&["stand-in", "miner"], "none of minion, worker")]
#[case(&["stand-in", "worker"], "--entries is missing")]
#[case(&["load", "--entries", "here", "--service", "s"], "is no address")]
#[case(&["token", "anna", "--role", "root"], "none of view, operate, admin")]
fn bad_arguments_are_told_with_the_next_step(#[case] args: &[&str], #[case] said: &str) {
    let output = run(args);
    assert_eq!(code(&output), 2, "{}", stderr(&output));
    assert!(stderr(&output).contains(said), "{}", stderr(&output));
    assert!(stderr(&output).contains("--help"), "{}", stderr(&output));
}

#[test]
fn the_exit_codes_page_is_true() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/EXIT_CODES.md");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        std::fs::write(&path, yuccahold::exit_codes::reference()).unwrap();
    }
    let page = std::fs::read_to_string(&path).unwrap();
    assert_eq!(page, yuccahold::exit_codes::reference());
}

#[test]
fn check_knows_documents_and_settings_by_their_keys() {
    let files = [
        "massfenster.yaml",
        "torres.yaml",
        "entry.yaml",
        "control.yaml",
    ];
    let paths: Vec<_> = files
        .iter()
        .map(|f| example(f).display().to_string())
        .collect();
    let mut args = vec!["check"];
    args.extend(paths.iter().map(String::as_str));
    let output = run(&args);
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let folder = format!("{}/", example("").display()).replace("//", "/");
    insta::assert_snapshot!(stdout(&output).replace(&folder, ""));
}

#[test]
fn check_tells_problems_as_lines_and_as_json() {
    let path = "tests/cases/documents/unknown-keys.yaml";
    let output = run(&["check", path, "--format", "json"]);
    assert_eq!(code(&output), 3);
    let told: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(told["problems"][0]["line"], 5);
    assert!(stderr(&output).contains("unknown-keys.yaml:5:1: unknown key `polcy`"));
}

#[test]
fn a_folder_is_one_document_in_parts() {
    let folder = std::env::temp_dir().join(format!("yuccahold-parts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    write("cell.yaml", "format: 1\ncell: c\nregion: r\nzones: [a]\n");
    write(
        "teams.yaml",
        "teams:\n  t: {quota: {cores: 1 core, memory: 1 GB}}\n",
    );
    write("services.yaml", "services:\n  s: {team: t}\n");
    let path = folder.display().to_string();
    let good = run(&["check", &path]);
    write("more.yaml", "services:\n  s: {team: t}\n");
    let twice = run(&["check", &path]);
    write("more.yaml", "services:\n  u: {team: tt}\n");
    let dangling = run(&["check", &path]);
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(code(&good), 0, "{}", stderr(&good));
    assert!(
        stderr(&twice).contains("`services.s` is also given"),
        "{}",
        stderr(&twice)
    );
    assert!(
        stderr(&dangling).contains("no team `tt` is declared"),
        "{}",
        stderr(&dangling)
    );
}

#[test]
fn bash_takes_the_completions() {
    let output = run(&["completions", "bash"]);
    let checked = Command::new("bash")
        .args(["-n", "-c"])
        .arg(stdout(&output))
        .status();
    assert!(checked.unwrap().success());
    assert!(stdout(&output).contains("apply) words=\"--revision --yes"));
    assert!(stdout(&run(&["completions", "fish"])).contains("-a apply -d"));
}

#[test]
fn an_unreachable_server_is_told_with_the_next_step() {
    // Port 9 on loopback is closed here: every try is refused at once.
    let output = run(&["history", "--server", "http://127.0.0.1:9"]);
    assert_eq!(code(&output), 6);
    assert!(stderr(&output).contains("--server"), "{}", stderr(&output));
}

#[tokio::test]
async fn a_document_goes_there_and_back_without_a_difference() {
    // The server is without a leader at first (503): the command tries again and succeeds.
    let held = Shared::default();
    held.lock().unwrap().failures = 2;
    let url = serve(Arc::clone(&held)).await;
    let file = example("massfenster.yaml").display().to_string();
    let asked = run_at(&url, &["apply", &file]).await;
    assert_eq!(code(&asked), 2, "no terminal, no --yes: {}", stderr(&asked));
    let applied = run_at(&url, &["apply", &file, "--yes"]).await;
    assert_eq!(code(&applied), 0, "{}", stderr(&applied));
    assert!(stdout(&applied).contains("start 4 tasks of `price-list`"));
    let shown = run_at(&url, &["show"]).await;
    assert_eq!(stdout(&shown), std::fs::read_to_string(&file).unwrap());
    let again = run_at(&url, &["apply", &file, "--yes"]).await;
    assert_eq!(stdout(&again), "no difference to revision 1\n");
    assert_eq!(held.lock().unwrap().texts.len(), 1);
}

#[tokio::test]
async fn the_second_of_two_operators_sees_the_first_ones_change() {
    // Both start from revision 1. The other operator's document is accepted between this one's
    // look at revision 1 and its change, so the change is stale and must not be applied.
    let held = Shared::default();
    let url = serve(Arc::clone(&held)).await;
    let file = example("torres.yaml");
    run_at(&url, &["apply", &file.display().to_string(), "--yes"]).await;
    let text = std::fs::read_to_string(&file).unwrap();
    let rival = text.replace("waiting_weight: 20", "waiting_weight: 25");
    held.lock().unwrap().rival = Some(rival);
    let late = run_at(&url, &["drain", "w-1", "--yes"]).await;
    assert_eq!(code(&late), 5, "{}", stderr(&late));
    assert!(
        stderr(&late).contains("~ policy.waiting_weight: 20 -> 25"),
        "{}",
        stderr(&late)
    );
    let stated = run_at(
        &url,
        &["apply", &file.display().to_string(), "--revision", "1"],
    )
    .await;
    assert_eq!(code(&stated), 5);
    assert_eq!(held.lock().unwrap().texts.len(), 2);

    let back = run_at(&url, &["rollback", "1", "--yes"]).await;
    assert_eq!(code(&back), 0, "{}", stderr(&back));
    assert!(stdout(&back).contains("revision 3 is in force"));
    assert_eq!(held.lock().unwrap().texts[2], text);
}

#[tokio::test]
async fn drains_are_declared_and_taken_back() {
    let held = Shared::default();
    let url = serve(Arc::clone(&held)).await;
    let file = example("torres.yaml").display().to_string();
    run_at(&url, &["apply", &file, "--yes"]).await;
    let drain = [
        "drain", "--zone", "mixco", "--rack", "r1", "--within", "90 s", "--yes",
    ];
    let drained = run_at(&url, &drain).await;
    assert!(stdout(&drained).contains("move everything off rack r1 in mixco within 90 s"));
    let undone = run_at(
        &url,
        &[
            "drain", "--zone", "mixco", "--rack", "r1", "--undo", "--yes",
        ],
    )
    .await;
    assert!(
        stdout(&undone).contains("revision 3 is in force"),
        "{}",
        stderr(&undone)
    );
    let nothing = run_at(&url, &["drain", "w", "--undo", "--yes"]).await;
    assert_eq!(code(&nothing), 1);
}

#[tokio::test]
async fn a_job_is_submitted_under_a_key() {
    let held = Shared::default();
    let url = serve(Arc::clone(&held)).await;
    let args = [
        "submit", "cut-plan", "--name", "p1", "--tasks", "3", "--key", "order-1",
    ];
    let output = run_at(&url, &args).await;
    assert_eq!(code(&output), 0, "{}", stderr(&output));
    let jobs = held.lock().unwrap().jobs.clone();
    assert_eq!(jobs[0]["kind"], "cut-plan");
    assert_eq!(jobs[0]["tasks"], 3);
}

#[test]
fn a_token_comes_with_the_lines_that_accept_it() {
    let output = run(&["token", "beat", "--role", "operate", "--teams", "fitting"]);
    let said = stdout(&output);
    let (_, file) = said.split_once("for the file of operators:\n").unwrap();
    let operators = yuccahold::console::Operators::parse("operators.yaml", file).unwrap();
    let beat = &operators.operators["beat"];
    assert_eq!(beat.teams, ["fitting"]);
    let token = said
        .split_once("only now: ")
        .unwrap()
        .1
        .lines()
        .next()
        .unwrap();
    assert!(token.starts_with("beat."), "{said}");
    assert!(!file.contains(token), "the file holds no token");
}

/// The examples that the help pages show are command lines that the program takes.
#[test]
fn the_examples_in_the_help_are_understood() {
    let overview = stdout(&run(&["--help"]));
    let commands = overview.split_once("commands:\n").unwrap().1;
    let commands = commands.lines().take_while(|line| !line.is_empty());
    let mut examples = 0;
    for command in commands.map(|line| line.split_whitespace().next().unwrap()) {
        let page = stdout(&run(&[command, "--help"]));
        let lines = page
            .lines()
            .filter_map(|line| line.strip_prefix("  yuccahold "));
        for line in lines {
            let line = line
                .split(" > ")
                .next()
                .unwrap()
                .replace("'30 min'", "30min");
            let args = line.split(' ').map(std::ffi::OsString::from);
            let parsed = yuccahold::cli::parse(args);
            assert!(
                matches!(parsed, Ok(yuccahold::cli::Parsed::Run(_))),
                "{line}: {parsed:?}"
            );
            examples += 1;
        }
    }
    assert!(examples >= commands_count(&overview), "{examples}");
}

fn commands_count(overview: &str) -> usize {
    let commands = overview.split_once("commands:\n").unwrap().1;
    commands.lines().take_while(|line| !line.is_empty()).count()
}
