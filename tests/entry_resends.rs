//! Outcomes of calls from an entry host to control of which more than one copy was sent.

#[allow(dead_code, reason = "each test file uses a part")]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use support::{keys, outcome, settings};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use yuccahold::entry::{ControlLink, Entry, RemoteLink};
use yuccahold::telemetry::discard;
use yuccahold::wire::{
    Answer, Call, EntryHello, FromControl, JobSubmission, Refusal, RefusalKind, ToControl, accept,
};

/// Longer than a few reconnections of the link, shorter than its bound for a silent connection.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What control does with a submission or a query.
#[derive(Clone, Debug)]
enum Reaction {
    Answer(Answer),
    /// Closes the connection, so that nobody can tell whether the call was executed.
    Close,
    Hold,
}

/// A control that reacts to the first calls as listed and to the later ones as to the last.
/// Renewals get no answer.
struct ScriptedControl {
    addr: SocketAddr,
    /// Notified of each submission or query.
    called: Arc<Notify>,
}

impl ScriptedControl {
    async fn start(reactions: Vec<Reaction>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let called = Arc::new(Notify::new());
        let notified = called.clone();
        tokio::spawn(async move {
            let mut next = reactions
                .iter()
                .chain(std::iter::repeat(reactions.last().unwrap()));
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let (mut rx, mut tx) = accept(stream, &keys()).await.unwrap();
                while let Ok(Some(message)) = rx.read::<ToControl>().await {
                    let ToControl::Call { id, call } = message else {
                        continue;
                    };
                    if !matches!(call, Call::SubmitJob(_) | Call::QueryJob(_)) {
                        continue;
                    }
                    notified.notify_one();
                    match next.next().unwrap().clone() {
                        Reaction::Answer(answer) => {
                            tx.write(&FromControl::Answer { id, answer }).await.unwrap();
                        }
                        Reaction::Close => break,
                        Reaction::Hold => {}
                    }
                }
            }
        });
        Self { addr, called }
    }

    fn link(&self) -> RemoteLink {
        let hello = EntryHello {
            entry: "entry-0".into(),
            process: 1,
            zone: "zone-a".into(),
            peer_addr: self.addr,
            in_force: 0,
        };
        RemoteLink::start(hello, vec![self.addr], keys(), discard())
    }
}

fn submission() -> Call {
    Call::SubmitJob(JobSubmission {
        name: Some("pay".into()),
        kind: "plan".into(),
        ..JobSubmission::default()
    })
}

fn refused(kind: RefusalKind) -> Reaction {
    Reaction::Answer(Answer::Refused(Refusal {
        kind,
        message: "refused".to_owned(),
        retry_after: None,
    }))
}

/// Guards against "not run" for a job that the leader accepted before it was lost.
#[rstest]
#[case::not_leader(Reaction::Answer(Answer::NotLeader(None)))]
#[case::overloaded(refused(RefusalKind::Overloaded))]
#[case::invalid(refused(RefusalKind::Invalid))]
#[case::conflict(refused(RefusalKind::Conflict))]
#[case::not_found(refused(RefusalKind::NotFound))]
#[case::expired(refused(RefusalKind::Expired))]
#[tokio::test]
async fn a_submission_refused_after_an_unanswered_copy_is_in_doubt(#[case] later: Reaction) {
    let control = ScriptedControl::start(vec![Reaction::Close, later]).await;
    let answer = control.link().call(submission(), TIMEOUT).await;
    assert!(matches!(answer, Ok(Answer::Unknown)), "{answer:?}");
}

/// Guards against a doubt where there is none: no earlier copy can have been executed.
#[tokio::test]
async fn a_submission_that_no_leader_accepted_was_not_sent() {
    let not_leader = Reaction::Answer(Answer::NotLeader(None));
    let control = ScriptedControl::start(vec![not_leader]).await;
    let answer = control.link().call(submission(), TIMEOUT).await;
    assert!(answer.is_err(), "{answer:?}");
}

/// Guards against a doubt about the answer to a read, whose copies change nothing.
#[tokio::test]
async fn a_query_sent_again_is_answered() {
    let missing = refused(RefusalKind::NotFound);
    let control = ScriptedControl::start(vec![Reaction::Close, missing]).await;
    let query = Call::QueryJob("pay".into());
    let answer = control.link().call(query, TIMEOUT).await;
    assert!(matches!(answer, Ok(Answer::Refused(_))), "{answer:?}");
}

/// Guards against "not run" for a job in flight to control when its entry host is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_without_an_answer_at_a_planned_stop_is_in_doubt() {
    let control = ScriptedControl::start(vec![Reaction::Hold]).await;
    let mut settings = settings("entry-0", control.addr);
    settings.stop_grace = Duration::from_millis(200);
    let entry = Entry::start(settings, keys(), discard()).await.unwrap();
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let submit = client
        .post(format!("http://{}/v1/jobs", entry.http_addr()))
        .json(&serde_json::json!({"name": "pay", "kind": "plan"}))
        .send();
    let (reply, ()) = tokio::join!(submit, async {
        control.called.notified().await;
        entry.stop().await;
    });
    let reply = reply.unwrap();
    assert_eq!((reply.status().as_u16(), outcome(&reply)), (504, "unknown"));
}
