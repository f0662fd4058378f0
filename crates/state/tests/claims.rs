//! Who holds a scope is decided by the order of records alone.

mod common;

use common::{Open, Process, claim, fold, record, renewal, set_role};
use fake::MemoryLog;
use plat::SYSTEM_STREAM;
use state::record::{Body, Suspicion};
use state::{Held, Lease, LeaseSettings, System};
use std::time::Duration;
use tokio::time::Instant;

const SCOPE: &str = "planner/sofia";

fn keep(process: &Process<System>, incarnation: u64) -> Lease {
    let settings = LeaseSettings::new(SYSTEM_STREAM.into(), SCOPE.into(), incarnation);
    Lease::keep(settings, process.appender.clone(), process.state.clone())
}

async fn held(lease: &Lease) -> Held {
    let mut held = lease.held();
    let held = held.wait_for(Option::is_some);
    let held = tokio::time::timeout(Duration::from_secs(600), held).await;
    held.expect("it is held in time").expect("it is kept").expect("it is held")
}

// A planner renews while another process, which has waited for long enough, claims. Both records
// are under way at once and either can come first. If both counted, an engine would be told two
// things by two planners.
#[test]
fn of_a_claim_and_a_renewal_the_first_in_the_log_counts() {
    let renewed_first: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("a", renewal(SCOPE, 0)),
        record("b", claim(SCOPE, Some(0), 2)),
    ]);
    assert_eq!(renewed_first.holder(SCOPE).expect("held").process, "a");
    let claimed_first: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("b", claim(SCOPE, Some(0), 2)),
        record("a", renewal(SCOPE, 0)),
    ]);
    let holder = claimed_first.holder(SCOPE).expect("held");
    assert_eq!((holder.process.as_str(), holder.last), ("b", 1));
}

// A planner is paused between deciding on an order and appending it, and wakes up after another
// took over. Without the check at each reader its engine would change role on the word of a
// process that no longer knows what the fleet looks like.
#[test]
fn an_order_of_a_superseded_planner_is_void() {
    let system: System = fold(&[
        record("a", claim(SCOPE, None, 1)),
        record("b", claim(SCOPE, Some(0), 2)),
        record("a", set_role(SCOPE, 0, "engine-1", "decode")),
        record("b", set_role(SCOPE, 1, "engine-1", "prefill")),
        // Somebody else's records under the holder's claim are void as well.
        record("c", set_role(SCOPE, 1, "engine-1", "mixed")),
    ]);
    let orders = system.orders("engine-1").map(|order| order.offset).collect::<Vec<_>>();
    assert_eq!(orders, [3]);
    let void = system.audit().filter(|act| !act.valid).map(|act| act.offset);
    assert_eq!(void.collect::<Vec<_>>(), [2, 4]);
}

// The same with running processes: the holder hangs in the middle of its append for longer than
// its lease. Its order reaches the log after the successor's claim.
#[tokio::test(start_paused = true)]
async fn a_holder_paused_while_it_appends_has_no_effect_when_it_wakes_up() {
    let log = MemoryLog::new();
    let mut a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = keep(&a, 1);
    let before = held(&lease_a).await;
    a.gate.set(Open::Held);
    let order = set_role(SCOPE, before.claim, "engine-1", "decode");
    let appender = a.appender.clone();
    let late = tokio::spawn(async move { appender.append(SYSTEM_STREAM, order).await });
    let lease_b = keep(&b, 2);
    let after = held(&lease_b).await;
    assert!(!before.is_valid());
    a.gate.set(Open::All);
    let late = late.await.expect("it ends").expect("the log took it");
    assert!(late.offset > after.claim);
    let system = a.read_to(late.offset + 1).await;
    assert_eq!(system.orders("engine-1").count(), 0);
    assert_eq!(system.holder(SCOPE).expect("held").process, "b");
    drop(lease_a);
}

// The planner's VM goes away without a word, or is cut off from the log; the log is slow and the
// successor's first claim loses its reply. Until the takeover no engine gets an order.
#[tokio::test(start_paused = true)]
async fn a_silent_planner_is_succeeded_in_under_ten_seconds_and_never_overlaps() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(300));
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = keep(&a, 1);
    held(&lease_a).await;
    let lease_b = keep(&b, 2);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(*lease_b.held().borrow(), None, "a holder that renews keeps its lease");
    a.gate.set(Open::Cut);
    let cut = Instant::now();
    log.lose_replies(1);
    held(&lease_b).await;
    let took = cut.elapsed();
    assert!(took < Duration::from_secs(10), "the takeover took {took:?}");
    let stale = lease_a.held().borrow().is_some_and(|held| held.is_valid());
    assert!(!stale, "the old holder still trusts its lease");
}

// Two processes see the same silence and claim at once.
#[tokio::test(start_paused = true)]
async fn of_two_claimants_one_holds() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(100));
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let at_once = |incarnation| {
        LeaseSettings::new(SYSTEM_STREAM.into(), SCOPE.into(), incarnation).jitter(Duration::ZERO)
    };
    let lease_a = Lease::keep(at_once(1), a.appender.clone(), a.state.clone());
    let lease_b = Lease::keep(at_once(2), b.appender.clone(), b.state.clone());
    tokio::time::sleep(Duration::from_secs(30)).await;
    let holders = [&lease_a, &lease_b].map(|lease| lease.held().borrow().is_some());
    assert_eq!(holders.iter().filter(|held| **held).count(), 1);
}

// A graceful stop must not leave the pool without a planner for a whole lease.
#[tokio::test(start_paused = true)]
async fn a_scope_that_was_given_up_is_taken_at_once() {
    let log = MemoryLog::new();
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    let lease_a = keep(&a, 1);
    held(&lease_a).await;
    let lease_b = keep(&b, 2);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let released = Instant::now();
    lease_a.release().await;
    held(&lease_b).await;
    assert!(released.elapsed() <= Duration::from_secs(1), "the spread is all it waits");
}

// The log is out for longer than the lease. Nobody may act in the meantime, and when it is back
// the same holder goes on.
#[tokio::test(start_paused = true)]
async fn a_holder_stops_while_the_log_is_out_and_goes_on_after() {
    let log = MemoryLog::new();
    let a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let lease = keep(&a, 1);
    let before = held(&lease).await;
    log.set_out(true);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_eq!(*lease.held().borrow(), None);
    log.set_out(false);
    assert_eq!(held(&lease).await.claim, before.claim);
}

// One request crashes every target that runs it; one that merely ran beside it is cleared. The
// report of one crash can be appended twice after a lost reply.
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
    let suspect = system.suspect(7).expect("known");
    assert!(suspect.is_suspect() && !suspect.is_refused());
    records.push(record("x", crash(8, "engine-2", true)));
    records.push(record("x", crash(7, "engine-2", false)));
    // A late copy of the crash that 8 was cleared of.
    records.push(record("x", crash(8, "engine-1", false)));
    let system: System = fold(&records);
    assert!(system.suspect(7).expect("known").is_refused());
    assert!(system.suspect(8).expect("known").is_cleared());
}
