//! Tests of the memory that callers make a process hold.

use body::budget::{Budget, NoRoom, Revocable, SMALL_BYTES};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const LARGE: usize = 4 * SMALL_BYTES;

/// Room for eight large bodies, of which large ones may take six.
const TOTAL: usize = 8 * LARGE;

fn budget() -> Arc<Budget> {
    Arc::new(Budget::new(TOTAL))
}

/// An upload that holds so many bytes and then makes no progress until it has to yield.
async fn stalled(budget: &Arc<Budget>, bytes: usize) -> JoinHandle<()> {
    let upload = upload(budget, bytes).await.expect("there is room");
    tokio::spawn(async move { upload.yields().cancelled().await })
}

async fn upload(budget: &Arc<Budget>, bytes: usize) -> Result<Revocable, NoRoom> {
    let mut upload = budget.begin();
    upload.grow(bytes).await?;
    Ok(upload)
}

/// Uploads that stop short of their end use up the memory for large ones: a new one gets none, ever.
#[tokio::test]
async fn upload_that_stalls_yields_to_one_that_makes_progress() {
    let budget = budget();
    let mut stalls = Vec::new();
    for _ in 0..6 {
        stalls.push(stalled(&budget, LARGE).await);
    }
    let later = upload(&budget, LARGE).await.unwrap().finish().unwrap();
    stalls.remove(0).await.unwrap();
    assert!(stalls.iter().all(|stalled| !stalled.is_finished()), "only the oldest yields");
    assert_eq!(budget.held(), 6 * LARGE);
    drop(later);
    assert_eq!(budget.held(), 5 * LARGE);
}

/// An upload that took memory lately yields after those that have not, though it began first.
#[tokio::test]
async fn upload_that_has_grown_last_yields_last() {
    let budget = budget();
    let mut first = upload(&budget, LARGE).await.unwrap();
    let mut stalls = Vec::new();
    for _ in 0..4 {
        stalls.push(stalled(&budget, LARGE).await);
    }
    first.grow(LARGE).await.unwrap();
    upload(&budget, LARGE).await.unwrap();
    stalls.remove(0).await.unwrap();
    assert!(!first.yields().is_cancelled());
}

/// Bodies that have arrived wait for slow targets and take all that large ones may: a small one is
/// still served, and a large one is refused at once instead of waiting for what nobody releases.
#[tokio::test]
async fn whole_bodies_leave_a_reserve_for_small_ones() {
    let budget = budget();
    let mut whole = Vec::new();
    for _ in 0..6 {
        whole.push(upload(&budget, LARGE).await.unwrap().finish().unwrap());
    }
    assert_eq!(upload(&budget, LARGE).await.unwrap_err(), NoRoom);
    for _ in 0..8 {
        whole.push(upload(&budget, SMALL_BYTES).await.unwrap().finish().unwrap());
    }
    assert_eq!(budget.held(), TOTAL);
    assert_eq!(upload(&budget, 1).await.unwrap_err(), NoRoom);
    drop(whole);
    assert_eq!(budget.held(), 0);
}

/// Small uploads that never end take even the reserve.
#[tokio::test]
async fn small_uploads_yield_to_small_ones_but_not_to_large_ones() {
    let budget = budget();
    let mut stalls = Vec::new();
    while budget.held() < TOTAL {
        stalls.push(stalled(&budget, SMALL_BYTES).await);
    }
    assert_eq!(upload(&budget, LARGE).await.unwrap_err(), NoRoom);
    assert!(stalls.iter().all(|stalled| !stalled.is_finished()));
    upload(&budget, SMALL_BYTES).await.unwrap();
    stalls.remove(0).await.unwrap();
}

/// Answers that are not read: like uploads that stall, they must leave room for others, and not take
/// the reserve for small bodies.
#[tokio::test]
async fn unread_answers_yield_like_large_uploads() {
    let budget = budget();
    let unread: Vec<_> = (0..6).map(|_| budget.hold_unread(LARGE).unwrap()).collect();
    upload(&budget, SMALL_BYTES).await.unwrap();
    let newest = budget.hold_unread(LARGE).unwrap();
    assert!(unread[0].yields().is_cancelled() && !unread[1].yields().is_cancelled());
    assert!(!newest.yields().is_cancelled());
    drop((unread, newest));
    assert_eq!(budget.held(), 0);
    let _whole = upload(&budget, 6 * LARGE).await.unwrap().finish().unwrap();
    assert!(budget.hold_unread(LARGE).is_none(), "bodies that have arrived do not yield");
}

/// An upload whose caller leaves while it waits for memory must not keep its turn.
#[tokio::test]
async fn waiting_upload_that_is_dropped_releases_all() {
    let budget = budget();
    let stalls = futures_util::future::join_all((0..6).map(|_| upload(&budget, LARGE))).await;
    let mut waits = budget.begin();
    let waited = tokio::time::timeout(Duration::from_millis(10), waits.grow(LARGE)).await;
    assert!(waited.is_err(), "the one that was told to yield has not ended yet");
    drop(waits);
    let mut next = budget.begin();
    let growing = tokio::time::timeout(Duration::from_millis(10), next.grow(LARGE)).await;
    assert!(growing.is_err());
    drop(stalls);
    assert_eq!(budget.held(), LARGE, "the next one got its turn");
    drop(next);
    assert_eq!(budget.held(), 0);
}

/// Connections take the memory that an upload waits for before it is released: the upload must not
/// wait for a release that nobody owes.
#[tokio::test]
async fn upload_whose_room_was_taken_gets_another_or_is_refused() {
    let budget = budget();
    let mut stalls = Vec::new();
    for _ in 0..6 {
        stalls.push(stalled(&budget, LARGE).await);
    }
    let waits = tokio::spawn({
        let budget = budget.clone();
        async move { upload(&budget, LARGE).await.map(|_| ()) }
    });
    // The upload has told the oldest to yield, which has not ended yet.
    tokio::task::yield_now().await;
    let connections = budget.hold(2 * LARGE).unwrap();
    let waited = tokio::time::timeout(Duration::from_secs(10), waits).await;
    assert_eq!(waited.unwrap().unwrap(), Ok(()), "two more yield");
    drop(stalls);

    let oldest = upload(&budget, LARGE).await.unwrap();
    let _whole = upload(&budget, 3 * LARGE).await.unwrap().finish().unwrap();
    let mut waits = budget.begin();
    let growing = tokio::spawn(async move { waits.grow(LARGE).await });
    tokio::task::yield_now().await;
    let _more = budget.hold(2 * LARGE).unwrap();
    drop(oldest);
    let refused = tokio::time::timeout(Duration::from_secs(10), growing).await;
    assert_eq!(refused.unwrap().unwrap(), Err(NoRoom));
    drop(connections);
}

/// The last chunk arrives after the upload was told to yield: if it counted as complete, the one that
/// waits for its memory would wait for as long as its request takes.
#[tokio::test]
async fn upload_that_was_told_to_yield_does_not_finish() {
    let budget = budget();
    let oldest = upload(&budget, LARGE).await.unwrap();
    assert!(budget.yield_oldest(Duration::ZERO, Instant::now()));
    assert_eq!(oldest.finish().unwrap_err(), NoRoom);
    assert_eq!(budget.held(), 0);
    assert!(!budget.yield_oldest(Duration::ZERO, Instant::now()), "there is none");
}

/// What is held never exceeds the budget, whatever grows, ends and yields at the same time.
#[tokio::test]
async fn concurrent_uploads_stay_within_the_budget() {
    let budget = budget();
    let tasks = (0..200_usize).map(|number| {
        let budget = budget.clone();
        tokio::spawn(async move {
            let mut upload = budget.begin();
            for _ in 0..number % 20 {
                let yields = upload.yields();
                let grown = tokio::select! {
                    () = yields.cancelled() => return,
                    grown = upload.grow(LARGE / 8) => grown,
                };
                assert!(budget.held() <= TOTAL);
                if grown.is_err() {
                    return;
                }
                tokio::task::yield_now().await;
            }
            if number % 3 == 0 {
                upload.yields().cancelled().await;
            }
        })
    });
    let tasks: Vec<_> = tasks.collect();
    for (number, task) in tasks.into_iter().enumerate() {
        if number % 3 == 0 {
            task.abort();
            let _ = task.await;
        } else {
            tokio::time::timeout(Duration::from_secs(10), task).await.unwrap().unwrap();
        }
    }
    assert_eq!(budget.held(), 0);
}
