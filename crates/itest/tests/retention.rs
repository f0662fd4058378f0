//! A log whose records expire, and a log that is unavailable for hours.

use agent::Backend;
use bytes::Bytes;
use itest::{Answer, Fleet, send};
use std::sync::Arc;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

async fn transfer(entry: &entry::Entry, key: &str) -> Answer {
    let request = http::Request::post("/services/ledger/transfers").header("idempotency-key", key);
    send(entry, request.body(Bytes::from_static(b"5")).expect("the request is valid")).await
}

// A call is answered, and its record expires after 2 h. After 5 h its target's agent is replaced
// and the call is sent again. Without a checkpoint the new agent could not read its stream from the
// beginning and would refuse all calls, or would run this one twice.
#[tokio::test(start_paused = true)]
async fn an_idempotency_key_survives_the_expiry_of_its_record_and_a_new_agent() {
    let fleet = Fleet::new().await;
    fleet.log.set_retention(2 * HOUR);
    let (ledger, agent) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let first = transfer(&entry, "t-1").await;
    assert_eq!(first.status, 200);
    tokio::time::sleep(5 * HOUR).await;
    agent.kill();
    let backend = Backend::Service(Arc::new(ledger.clone()));
    let _agent = fleet.start_agent("ledger-1", "sofia-1", backend);
    tokio::time::sleep(Duration::from_secs(30)).await;
    let second = transfer(&entry, "t-1").await;
    assert_eq!((second.status, &second.body), (200, &first.body));
    assert_eq!(ledger.runs().values().copied().collect::<Vec<_>>(), [1]);
    assert_eq!(transfer(&entry, "t-2").await.status, 200);
}

// The log fails while a call runs and stays unavailable for 7 h, so the outcome cannot be recorded.
// Once the log is back, an agent that had stopped trying to record it would take the intent for one
// that was never dispatched, release the key, and run the call again.
#[tokio::test(start_paused = true)]
async fn a_call_whose_outcome_is_recorded_after_a_long_log_outage_runs_once() {
    let fleet = Fleet::new().await;
    let (ledger, _agent) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    ledger.set_delay(Duration::from_secs(1));
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let asking = entry.clone();
    let asking = tokio::spawn(async move { transfer(&asking, "t-1").await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.log.set_unavailable(true);
    assert_eq!(asking.await.expect("the request task ends").status, 200);
    tokio::time::sleep(7 * HOUR).await;
    fleet.log.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    transfer(&entry, "t-1").await;
    assert_eq!(ledger.runs().values().copied().collect::<Vec<_>>(), [1]);
}
