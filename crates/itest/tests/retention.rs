//! A log that keeps records for two hours only.

use agent::Backend;
use bytes::Bytes;
use itest::{Answer, Fleet, send};
use std::sync::Arc;
use std::time::Duration;

const HOUR: Duration = Duration::from_secs(3_600);

async fn transfer(entry: &entry::Entry, key: &str) -> Answer {
    let request = http::Request::post("/services/ledger/transfers").header("idempotency-key", key);
    send(entry, request.body(Bytes::from_static(b"5")).expect("valid")).await
}

// A treasurer's transfer is answered, and its record expires. Hours later its target's VM is
// replaced and the transfer is sent again. Without a checkpoint the new agent could not read its
// stream from the beginning and would refuse all transfers, or forget this one and run it twice.
#[tokio::test(start_paused = true)]
async fn a_key_is_still_known_after_its_record_expired_and_its_agent_was_replaced() {
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

// A transfer is under way when the log goes out, and stays out for most of a day. It has run, but
// nobody can write that down. Once the log is back, an agent that had given up recording it would
// take its intent for one that was never dispatched, free the key, and run the transfer again.
#[tokio::test(start_paused = true)]
async fn a_call_whose_outcome_waits_for_the_log_all_day_still_runs_once() {
    let fleet = Fleet::new().await;
    let (ledger, _agent) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    ledger.set_delay(Duration::from_secs(1));
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let asking = entry.clone();
    let asking = tokio::spawn(async move { transfer(&asking, "t-1").await });
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.log.set_unavailable(true);
    assert_eq!(asking.await.expect("answered").status, 200);
    tokio::time::sleep(7 * HOUR).await;
    fleet.log.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(30)).await;
    transfer(&entry, "t-1").await;
    assert_eq!(ledger.runs().values().copied().collect::<Vec<_>>(), [1]);
}
