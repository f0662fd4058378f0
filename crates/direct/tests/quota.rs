//! The limits of customers at one entry, without a network.

use direct::cluster::clock::SuspendClock;
use direct::cluster::groups::Member;
use direct::cluster::messages::{QuotaRequest, QuotaResponse, ShareLease, Stamp, micros};
use direct::cluster::quota::{Demand, Quota, Settings, State, Step, Verdict};
use policy::quota::{Bounds, Limit, partition};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

const OWN: u64 = 1;
const OTHER: u64 = 2;
const CUSTOMER: u64 = 7;
const SECOND: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Clock(AtomicU64);

impl Clock {
    fn advance(&self, span: Duration) {
        self.0.fetch_add(micros(span), Ordering::Relaxed);
    }
}

impl SuspendClock for Clock {
    fn now(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }
}

fn entry() -> (Quota, Arc<Clock>) {
    let clock = Arc::new(Clock::default());
    clock.advance(SECOND);
    let bounds = Bounds { window: SECOND * 8, overage: 0.1, allowance: 1_000.0 };
    (Quota::new(&Settings { bounds, clock: clock.clone() }, OWN, 11), clock)
}

/// Lets the entry's view of the entries settle, so that it has a share.
fn settle(quota: &Quota, clock: &Clock) {
    quota.with(|state, now| state.lender.observe_entries(2, SECOND, now));
    clock.advance(SECOND);
    quota.with(|state, now| state.lender.observe_entries(2, SECOND, now));
}

fn members(keys: &[u64]) -> Arc<[Member]> {
    let address = Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 9)));
    let member = |key: &u64| Member { key: *key, domain: 0, address, link_rate: 1e9 };
    keys.iter().map(member).collect()
}

fn demand() -> Demand {
    let limit = Limit { rate: 2_000.0, burst: 2_000.0, version: 1 };
    let (max_wait, returning, fingerprint) = (SECOND, false, 5);
    Demand { customer: CUSTOMER, limit, amount: 200.0, max_wait, returning, fingerprint }
}

/// The message to the other entry, which is the only candidate.
fn ask(quota: &Quota, ids: (Option<u64>, u64)) -> QuotaRequest {
    let members = members(&[OTHER]);
    match quota.with(|state, now| state.next_step(&demand(), &members, ids, now)) {
        Step::Ask { message, .. } => message,
        other => panic!("{other:?}"),
    }
}

fn response(id: u64, leaving: bool, ready: bool) -> QuotaResponse {
    let stamp = Some(Stamp { life: 22, at_us: 1 });
    QuotaResponse { id, holder: OTHER, stamp, leaving, ready, ..QuotaResponse::default() }
}

/// The answer to a request for tokens is lost. If the request were repeated under another id, the
/// holder would take its tokens twice.
#[test]
fn unanswered_request_is_repeated_under_its_id() {
    let (quota, clock) = entry();
    settle(&quota, &clock);
    let first = ask(&quota, (None, 100));
    clock.advance(Duration::from_millis(45));
    let again = ask(&quota, (Some(first.id), 101));
    assert_eq!(QuotaRequest { lease: first.lease.clone(), ..again }, first);
    // What was granted ahead by the first answer may be void by then.
    clock.advance(SECOND);
    quota.with(|state, now| state.deliver(&response(9, false, true), now));
    assert_eq!(ask(&quota, (Some(first.id), 102)).id, 102);
}

/// An entry stops as planned and starts again under its name, as in every update of the software.
/// If it never became a holder again, entries would lend their shares to different holders for good,
/// and customers would get a part of their limits.
#[test]
fn entry_that_stopped_and_started_again_is_a_holder_again() {
    let (quota, clock) = entry();
    settle(&quota, &clock);
    let holder = |members: &Arc<[Member]>, id| {
        quota.with(|state, now| match state.next_step(&demand(), members, (None, id), now) {
            Step::Ask { holder, .. } => holder,
            _ => OWN,
        })
    };
    assert_eq!(holder(&members(&[OTHER]), 1), OTHER);
    quota.with(|state, now| state.deliver(&response(1, true, true), now));
    clock.advance(SECOND);
    assert_eq!(holder(&members(&[OTHER]), 2), OWN, "it stops");
    clock.advance(SECOND);
    assert_eq!(holder(&members(&[]), 3), OWN, "it is gone");
    clock.advance(SECOND);
    assert_eq!(holder(&members(&[OTHER]), 4), OTHER);
}

/// An entry has just started and has no share. Its callers must retry elsewhere at once if another
/// entry can decide, and otherwise must not be sent to entries that can't decide either.
#[test]
fn callers_of_a_started_entry_are_told_to_retry_where_and_when_it_helps() {
    let (quota, clock) = entry();
    quota.with(|state, now| state.lender.observe_entries(2, Duration::ZERO, now));
    let retry_after = || quota.with(|state, now| state.retry_after(CUSTOMER, true, now));
    clock.advance(Duration::from_millis(250));
    assert_eq!(retry_after(), SECOND, "no entry is known to have a share");
    let lease = ShareLease {
        lender: OTHER,
        holder: OWN,
        partitions: vec![partition(CUSTOMER).into()],
        share: 0.5,
        term_us: micros(SECOND),
        echoed: None,
    };
    let request = QuotaRequest { id: 3, lease: Some(lease), ..ask(&quota, (None, 3)) };
    quota.with(|state, now| state.respond(&request, now));
    assert_eq!(retry_after(), Duration::from_millis(10));
    let (quota, _clock) = entry();
    quota.with(|state, now| state.deliver(&response(1, false, true), now));
    let retry_after = quota.with(|state, now| state.retry_after(CUSTOMER, true, now));
    assert_eq!(retry_after, Duration::from_millis(10));
}

/// A caller that retries for another reason comes while tokens are reserved for an equal request. If it
/// were told the same time, one of the two would be refused again at that time.
#[test]
fn reserved_tokens_are_promised_to_one_caller_only() {
    let (quota, clock) = entry();
    quota.with(|state, now| state.lender.observe_entries(1, SECOND, now));
    clock.advance(SECOND);
    quota.with(|state, now| state.lender.observe_entries(1, SECOND, now));
    let members = members(&[OWN]);
    let next = AtomicU64::default();
    let fresh_id = || next.fetch_add(1, Ordering::Relaxed);
    let refused = |fingerprint, returning| {
        let demand = Demand { fingerprint, returning, ..demand() };
        let step =
            |state: &mut State, now| state.next_step(&demand, &members, (None, fresh_id()), now);
        match quota.with(step) {
            Step::Decided(Verdict::Refused { retry_after, reserved }) => {
                assert!(reserved, "{retry_after:?}");
                Some(retry_after)
            }
            Step::Decided(Verdict::Taken(_)) => None,
            other => panic!("{other:?}"),
        }
    };
    let first = |caller| refused(caller, false).map(|retry_after| (caller, retry_after));
    let (caller, retry_after) = (100..200).find_map(first).unwrap();
    assert!(refused(300, true).unwrap() > retry_after, "both were told {retry_after:?}");
    clock.advance(retry_after);
    assert_eq!(refused(caller, true), None);
}

/// More customers than are remembered are refused within a second. Each must still get one log line.
#[test]
fn refusals_are_logged_once_a_second_for_each_of_many_customers() {
    let (quota, clock) = entry();
    let count = |customer| quota.with(|state, now| state.count_refusal(customer, now));
    for customer in 0..2_000 {
        assert_eq!(count(customer), Some(1));
        assert_eq!(count(customer), None);
    }
    clock.advance(SECOND);
    assert_eq!(count(1_999), Some(2));
}
