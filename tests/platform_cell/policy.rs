//! Simulated policy service, and the HTTP server that it shares with simulated minions.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::json;
use warp::Filter;

/// Serves a policy that allows each step on about two thirds of the minions.
pub async fn serve_policy() -> SocketAddr {
    #[derive(Deserialize)]
    struct Question {
        step: String,
        workers: Vec<String>,
    }
    let advise = warp::path!("yuccahold" / "advise")
        .and(warp::body::json())
        .then(|question: Question| async move {
            tokio::time::sleep(Duration::from_millis(20)).await;
            let allowed = |id: &&String| {
                let machine = id
                    .rsplit_once('-')
                    .map_or(id.as_str(), |(machine, _)| machine);
                let text = question.step.bytes().chain(machine.bytes());
                text.map(u32::from).sum::<u32>() % 3 != 0
            };
            let good = question.workers.iter().filter(allowed);
            let good: Vec<_> = good.map(|id| json!([id, "a ticket"])).collect();
            warp::reply::json(&json!({"good": good}))
        });
    listen(advise).await
}

/// Serves these routes on a free port.
pub async fn listen<F>(routes: F) -> SocketAddr
where
    F: Filter<Error = warp::Rejection> + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
{
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a free port");
    let addr = listener.local_addr().expect("it is bound");
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    addr
}
