//! The order of the records alone decides who holds a scope.

mod common;

use common::{Open, Process, claim, fold, record, renewal, set_role};
use fake::MemoryLog;
use plat::SYSTEM_STREAM;
use state::record::{Body, Suspicion};
use state::{HeldClaim, Lease, LeaseSettings, System};
use std::time::Duration;
use tokio::time::Instant;

const SCOPE: &str = "planner/sofia";

fn spawn(process: &Process<System>, incarnation: u64) -> Lease {
    let settings = LeaseSettings::new(SYSTEM_STREAM.into(), SCOPE.into(), incarnation);
    Lease::spawn(settings, process.appender.clone(), process.state.clone())
}

async fn held(lease: &Lease) -> HeldClaim {
    let mut held = lease.held();
    let held = held.wait_for(Option::is_some);
    let held = tokio::time::timeout(Duration::from_secs(600), held).await;
    held.expect("the scope is held in time")
        .expect("the lease task runs")
        .expect("the scope is held")
}

// A planner renews while another process claims after it has waited for the lease to expire. The
// records are appended concurrently and either can come first. If both were valid, an engine would
// get orders from two planners.
#[test]
fn first_of_a_claim_and_a_renewal_is_valid() {
    let renewed_first: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", renewal(SCOPE, 0)),
        record("b", claim(SCOPE, Some(0), 2)),
    ]);
    assert_eq!(renewed_first.holder(SCOPE).expect("the scope is held").process, "a");
    let claimed_first: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("b", claim(SCOPE, Some(0), 2)),
        record("a", renewal(SCOPE, 0)),
    ]);
    let holder = claimed_first.holder(SCOPE).expect("the scope is held");
    assert_eq!((holder.process.as_str(), holder.last), ("b", 1));
}

// A planner is paused between deciding on an order and appending it, and resumes after another one
// took over. Without the check at each reader, an engine would change its role by the order of a
// process with an outdated view of the fleet.
#[test]
fn order_of_a_superseded_planner_is_void() {
    let system: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("b", claim(SCOPE, Some(0), 2)),
        record("a", set_role(SCOPE, 0, "engine-1", "decode")),
        record("b", set_role(SCOPE, 1, "engine-1", "prefill")),
        // Records of another process under the holder's claim are void as well.
        record("c", set_role(SCOPE, 1, "engine-1", "mixed")),
    ]);
    let orders = system.orders("engine-1").map(|order| order.offset).collect::<Vec<_>>();
    assert_eq!(orders, [3]);
    let void = system.audit().filter(|act| !act.valid).map(|act| act.offset);
    assert_eq!(void.collect::<Vec<_>>(), [2, 4]);
}

// The same with running processes: the holder blocks in an append for longer than its lease. Its
// order reaches the log after the successor's claim.
#[tokio::test(start_paused = true)]
async fn holder_paused_in_an_append_has_no_effect_after_a_takeover() {
    let log = MemoryLog::new();
    let mut a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = spawn(&a, 1);
    let before = held(&lease_a).await;
    a.gate.set(Open::Held);
    let order = set_role(SCOPE, before.claim, "engine-1", "decode");
    let appender = a.appender.clone();
    let late = tokio::spawn(async move { appender.append(SYSTEM_STREAM, order).await });
    let lease_b = spawn(&b, 2);
    let after = held(&lease_b).await;
    assert!(!before.is_valid());
    a.gate.set(Open::All);
    let late = late.await.expect("the append ends").expect("the log accepted it");
    assert!(late.offset > after.claim);
    let system = a.read_to(late.offset + 1).await;
    assert_eq!(system.orders("engine-1").count(), 0);
    assert_eq!(system.holder(SCOPE).expect("the scope is held").process, "b");
    drop(lease_a);
}

// The planner's VM fails or is cut off from the log, while the log is slow and the reply to the
// successor's first claim is lost. Until the takeover no engine gets an order.
#[tokio::test(start_paused = true)]
async fn takeover_from_a_failed_planner_takes_under_ten_seconds_without_overlap() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(300));
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = spawn(&a, 1);
    held(&lease_a).await;
    let lease_b = spawn(&b, 2);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(*lease_b.held().borrow(), None, "a holder that renews keeps its lease");
    a.gate.set(Open::Cut);
    let cut_at = Instant::now();
    log.lose_replies(1);
    held(&lease_b).await;
    let takeover_time = cut_at.elapsed();
    assert!(takeover_time < Duration::from_secs(10), "the takeover took {takeover_time:?}");
    let stale = lease_a.held().borrow().is_some_and(|held| held.is_valid());
    assert!(!stale, "the old holder still trusts its lease");
}

// Two processes detect the expired lease and claim at the same time.
#[tokio::test(start_paused = true)]
async fn one_of_two_claimants_holds_the_scope() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(100));
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let at_once = |incarnation| {
        LeaseSettings::new(SYSTEM_STREAM.into(), SCOPE.into(), incarnation).jitter(Duration::ZERO)
    };
    let lease_a = Lease::spawn(at_once(1), a.appender.clone(), a.state.clone());
    let lease_b = Lease::spawn(at_once(2), b.appender.clone(), b.state.clone());
    tokio::time::sleep(Duration::from_secs(30)).await;
    let holders = [&lease_a, &lease_b].map(|lease| lease.held().borrow().is_some());
    assert_eq!(holders.iter().filter(|held| **held).count(), 1);
}

// A graceful stop must not leave the pool without a planner for a whole lease.
#[tokio::test(start_paused = true)]
async fn released_scope_is_claimed_immediately() {
    let log = MemoryLog::new();
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = spawn(&a, 1);
    held(&lease_a).await;
    let lease_b = spawn(&b, 2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let released_at = Instant::now();
    lease_a.release().await;
    held(&lease_b).await;
    assert!(released_at.elapsed() <= Duration::from_secs(1), "the wait is at most the jitter");
}

// The log is unavailable for longer than the lease. No process may act in the meantime, and when
// the log is available again the same holder continues.
#[tokio::test(start_paused = true)]
async fn holder_stops_while_the_log_is_unavailable_and_continues_after() {
    let log = MemoryLog::new();
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let lease = spawn(&a, 1);
    let before = held(&lease).await;
    log.set_unavailable(true);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(*lease.held().borrow(), None);
    log.set_unavailable(false);
    assert_eq!(held(&lease).await.claim, before.claim);
}

// One request crashes every target that runs it; another one that only ran beside it is cleared.
// The record of a crash can be appended twice after a lost reply.
#[test]
fn two_crashes_refuse_a_request_and_success_clears_it() {
    let crash = |fingerprint, target: &str, cleared| {
        let (incarnation, alone) = (1, false);
        let target = target.to_owned();
        Body::Suspicion(Suspicion { fingerprint, target, incarnation, alone, cleared })
    };
    let mut records = vec![
        record("x", crash(7, "engine-1", false)),
        record("x", crash(8, "engine-1", false)),
        record("x", crash(7, "engine-1", false)),
    ];
    let system: System = fold(&records);
    let suspect = system.suspect(7).expect("the suspect is known");
    assert!(suspect.is_suspect() && !suspect.is_refused());
    records.push(record("x", crash(8, "engine-2", true)));
    records.push(record("x", crash(7, "engine-2", false)));
    // A late copy of the crash of which request 8 was cleared.
    records.push(record("x", crash(8, "engine-1", false)));
    let system: System = fold(&records);
    assert!(system.suspect(7).expect("the suspect is known").is_refused());
    assert!(system.suspect(8).expect("the suspect is known").is_cleared());
}
