//! Appends in batches, within the rate limit, and with lost replies.

mod common;

use common::{Process, renewal};
use fake::MemoryLog;
use plat::{Log, SYSTEM_STREAM};
use state::{Appender, AppenderSettings, Error, System};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

async fn records(log: &MemoryLog) -> usize {
    let batch = log.read(SYSTEM_STREAM, 0, 100_000, Duration::ZERO).await;
    batch.expect("the log is up").entries.len()
}

// The log appends the record, but its reply is lost. A second append would duplicate the record; an
// error would report a change as failed that is in effect.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_settled_by_reading() {
    let log = MemoryLog::new();
    let appender = Appender::new(Arc::new(log.clone()), "a".into());
    appender.append(SYSTEM_STREAM, renewal("s", 0)).await.expect("the log is up");
    log.lose_replies(1);
    let appended = appender.append(SYSTEM_STREAM, renewal("s", 1)).await.expect("settled");
    assert_eq!(appended.offset, 1);
    assert_eq!(records(&log).await, 2);
    assert_eq!((appender.lost_replies(), appender.unsettled()), (1, 0));
}

// The reply is lost, and the append has not arrived yet when the wait ends. It must not be reported
// as failed, since the record appears later.
#[tokio::test(start_paused = true)]
async fn append_that_may_still_arrive_is_unsettled() {
    let log = MemoryLog::new();
    let appender = Appender::new(Arc::new(log.clone()), "a".into());
    log.delay_writes(1, Duration::from_secs(60));
    let result = appender.append(SYSTEM_STREAM, renewal("s", 0)).await;
    assert!(matches!(result, Err(Error::Unsettled { .. })), "{result:?}");
    assert_eq!(records(&log).await, 0);
    tokio::time::sleep(Duration::from_secs(61)).await;
    assert_eq!(records(&log).await, 1);
}

// While the log is unavailable an append is refused, and this is final: the record must not appear
// when the log is available again.
#[tokio::test(start_paused = true)]
async fn refused_record_never_appears() {
    let log = MemoryLog::new();
    let appender = Appender::new(Arc::new(log.clone()), "a".into());
    log.set_unavailable(true);
    let result = appender.append(SYSTEM_STREAM, renewal("s", 0)).await;
    assert!(matches!(result, Err(Error::Log(plat::Error::Unavailable { .. }))), "{result:?}");
    log.set_unavailable(false);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(records(&log).await, 0);
}

// A record whose writer stops waiting before the append is not appended.
#[tokio::test(start_paused = true)]
async fn record_whose_writer_has_gone_is_not_appended() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_secs(1));
    let appender = Appender::new(Arc::new(log.clone()), "a".into());
    let first = appender.append(SYSTEM_STREAM, renewal("s", 0));
    let second = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let second = appender.append(SYSTEM_STREAM, renewal("s", 1));
        tokio::time::timeout(Duration::from_millis(100), second).await
    };
    let (first, second) = tokio::join!(first, second);
    assert!(first.is_ok() && second.is_err());
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(records(&log).await, 1);
}

// In a burst each call needs a record, and the log accepts several hundred appends per second from
// all processes together. With one append per record the others could not append.
#[tokio::test(start_paused = true)]
async fn queued_records_share_appends_within_the_rate_limit() {
    let log = MemoryLog::new();
    log.set_delay(Duration::from_millis(20));
    let settings = AppenderSettings { per_second: 10, burst: 5, ..AppenderSettings::default() };
    let appender = Appender::with(Arc::new(log.clone()), "a".into(), settings);
    let started = Instant::now();
    let mut all = JoinSet::new();
    for number in 0..3_000 {
        let appender = appender.clone();
        all.spawn(async move {
            tokio::time::sleep(Duration::from_millis(number)).await;
            appender.append(SYSTEM_STREAM, renewal("s", number)).await
        });
    }
    let results = all.join_all().await;
    assert!(results.iter().all(Result::is_ok));
    let seconds = started.elapsed().as_secs() + 1;
    assert_eq!(appender.appended_records(), 3_000);
    assert!(appender.appends() <= 5 + 10 * seconds, "{} in {seconds} s", appender.appends());
}

// Several processes append to one stream while replies are lost: each gets the offsets of its own
// records.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_settled_among_records_of_others() {
    let log = MemoryLog::new();
    let mut a = Process::<System>::start(&log, "a", SYSTEM_STREAM);
    let b = Process::<System>::start(&log, "b", SYSTEM_STREAM);
    log.set_delay(Duration::from_millis(20));
    log.lose_replies(4);
    let (first, second) = tokio::join!(
        a.appender.append(SYSTEM_STREAM, renewal("s", 0)),
        b.appender.append(SYSTEM_STREAM, renewal("s", 0)),
    );
    let offsets = [first, second].map(|appended| appended.expect("settled").offset);
    assert_ne!(offsets[0], offsets[1]);
    assert_eq!(a.read_to(2).await.audit().count(), 2);
}
