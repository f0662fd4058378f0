//! Calls of plain services: repeatable calls are retried, others run at most once, and responses
//! state correctly whether the call ran.

use bytes::Bytes;
use conf::Kind;
use itest::{Answer, Fleet, agent_address, send};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use wire::{Progress, Work};

async fn call(entry: &entry::Entry, key: Option<&str>) -> Answer {
    let mut request = http::Request::post("/services/ledger/transfers");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    send(entry, request.body(Bytes::from_static(b"5")).expect("the request is valid")).await
}

fn outcome(answer: &Answer) -> (u16, String, String) {
    let body: Value = serde_json::from_str(&answer.body).expect("problem details");
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    (answer.status, text("reason"), text("run"))
}

fn key_of(submit: &wire::Submit) -> String {
    match &submit.request.as_ref().expect("a submission has a request").work {
        Some(Work::Call(call)) => call.key.clone(),
        other => panic!("expected a call, got {other:?}"),
    }
}

// The connection to the agent breaks after it received a call. If the entry sent the call to
// another target, it could run twice; if it reported the call as not run, the caller would repeat
// it.
#[tokio::test(start_paused = true)]
async fn a_non_repeatable_call_is_sent_once_and_its_loss_is_reported_as_unknown() {
    let fleet = Fleet::new().await;
    let mut one = fleet.add_scripted_service("ledger", "ledger-1", false).await;
    let mut two = fleet.add_scripted_service("ledger", "ledger-2", false).await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let (mut one, mut two) = (one.accept(true).await, two.accept(true).await);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let asking = tokio::spawn(async move { call(&entry, Some("t-1")).await });
    let (_submit, home, other) = tokio::select! {
        submit = one.next_submit() => (submit, one, &mut two),
        submit = two.next_submit() => (submit, two, &mut one),
    };
    home.cut();
    let answer = asking.await.expect("the request task ends");
    assert_eq!(outcome(&answer), (502, "agent-lost".into(), "unknown".into()));
    assert!(other.next_within(Duration::from_secs(5)).await.is_none(), "no second run");
}

// The entry cannot reach the target to which an idempotency key is assigned. If it sent the call
// to another target, the call could run there and, through another entry, at its own target too.
// Without `not-run` in the refusal, the caller could not retry safely.
#[tokio::test(start_paused = true)]
async fn a_call_whose_assigned_target_is_unreachable_is_refused_as_not_run() {
    let fleet = Fleet::new().await;
    let (one, _a) = fleet.add_service("ledger", "ledger-1", "sofia-1", false).await;
    let (two, _b) = fleet.add_service("ledger", "ledger-2", "sofia-1", false).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    fleet.network.cut("entry-1", "ledger-1:1");
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut refused = 0;
    for number in 0..16 {
        let answer = call(&entry, Some(&format!("t-{number}"))).await;
        if answer.status != 200 {
            assert_eq!(outcome(&answer), (503, "agent-unreachable".into(), "not-run".into()));
            refused += 1;
        }
    }
    assert!((1..16).contains(&refused), "{refused} of 16 keys are assigned to ledger-1");
    let runs = |service: &fake::MemoryService| service.runs().values().sum::<u32>();
    assert_eq!(runs(&one), 0);
    assert_eq!(runs(&two), 16 - refused);
}

// Two entries may reach different targets. If each chose among the targets that it reaches, one key
// would be assigned to two targets.
#[tokio::test(start_paused = true)]
async fn all_entries_assign_a_key_to_the_same_target() {
    let fleet = Fleet::new().await;
    let mut one = fleet.add_scripted_service("ledger", "ledger-1", false).await;
    let mut two = fleet.add_scripted_service("ledger", "ledger-2", false).await;
    let left = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let (mut one_left, mut two_left) = (one.accept(true).await, two.accept(true).await);
    let right = Arc::new(fleet.start_entry("entry-2", "sofia-2"));
    let (mut one_right, mut two_right) = (one.accept(true).await, two.accept(true).await);
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    for number in 0..8 {
        let key = format!("t-{number}");
        let asking = |entry: Arc<entry::Entry>, key: String| {
            tokio::spawn(async move { call(&entry, Some(&key)).await })
        };
        let (a, b) = (asking(left.clone(), key.clone()), asking(right.clone(), key));
        let (target_left, seen) = tokio::select! {
            submit = one_left.next_submit() => (1, submit),
            submit = two_left.next_submit() => (2, submit),
        };
        let (target_right, seen_right) = tokio::select! {
            submit = one_right.next_submit() => (1, submit),
            submit = two_right.next_submit() => (2, submit),
        };
        assert_eq!(target_left, target_right);
        assert_eq!(key_of(&seen), key_of(&seen_right));
        a.abort();
        b.abort();
        // Receives both cancels, so that the next round receives only submissions.
        let (near, far) = if target_left == 1 {
            (&mut one_left, &mut one_right)
        } else {
            (&mut two_left, &mut two_right)
        };
        near.next().await;
        far.next().await;
    }
}

// Calls of a non-repeatable service without a key get an implicit one. Two calls with the same
// content must get different keys, and a caller must not be able to choose an implicit key.
#[tokio::test(start_paused = true)]
async fn calls_without_a_key_get_unique_keys_that_no_caller_can_choose() {
    let fleet = Fleet::new().await;
    let mut script = fleet.add_scripted_service("ledger", "ledger-1", false).await;
    let entry = Arc::new(fleet.start_entry("entry-1", "sofia-1"));
    let mut connection = script.accept(true).await;
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut keys = Vec::new();
    for key in [None, None, Some("implicit-1")] {
        let entry = entry.clone();
        let asking = tokio::spawn(async move { call(&entry, key).await });
        let submit = connection.next_submit().await;
        keys.push(key_of(&submit));
        connection.refuse(submit.attempt, "log-unavailable", Progress::NotRun);
        let answer = asking.await.expect("the request task ends");
        assert_eq!(outcome(&answer), (503, "log-unavailable".into(), "not-run".into()));
    }
    assert!(keys[0] != keys[1] && keys[0].starts_with("implicit-"), "{keys:?}");
    assert_eq!(keys[2], "caller-implicit-1");
}

// An instance breaks off without answering. If the entry did not retry a repeatable call at another
// instance, the caller would have to send it again.
#[tokio::test(start_paused = true)]
async fn a_repeatable_call_is_retried_at_another_instance() {
    let fleet = Fleet::new().await;
    let (one, _a) = fleet.add_service("ledger", "tiles-1", "sofia-1", true).await;
    let (two, _b) = fleet.add_service("ledger", "tiles-2", "sofia-1", true).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    one.lose_replies(1);
    two.lose_replies(1);
    let answers = [call(&entry, None).await.status, call(&entry, None).await.status];
    assert_eq!(answers, [200, 200]);
}

// The platform's list marks a VM as leaving, or an operator marks a target so. Requests sent there
// afterwards would break off when the VM stops.
#[tokio::test(start_paused = true)]
async fn a_leaving_target_gets_no_new_work_within_two_seconds() {
    let fleet = Fleet::new().await;
    let (one, _a) = fleet.add_service("ledger", "ledger-1", "sofia-1", true).await;
    let (two, _b) = fleet.add_service("ledger", "ledger-2", "sofia-1", true).await;
    let entry = fleet.start_entry("entry-1", "sofia-1");
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let runs = |service: &fake::MemoryService| service.runs().values().sum::<u32>();
    let vm = |name: &str, phase| plat::Vm {
        name: name.into(),
        address: "10.0.0.1".into(),
        domain: "sofia-1".into(),
        phase,
    };
    fleet.vms.set(vec![
        vm("agent-ledger-1", plat::VmPhase::Leaving),
        vm("agent-ledger-2", plat::VmPhase::Live),
    ]);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for _ in 0..20 {
        assert_eq!(call(&entry, None).await.status, 200);
    }
    assert_eq!((runs(&one), runs(&two)), (0, 20));

    fleet.vms.set(Vec::new());
    let spec = json!({
        "service": "ledger", "domain": "sofia-1", "agent": agent_address("ledger-2"),
        "repeatable": true, "phase": "leaving",
    });
    fleet.publish(Kind::Target, "ledger-2", spec).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    for _ in 0..20 {
        assert_eq!(call(&entry, None).await.status, 200);
    }
    assert_eq!((runs(&one), runs(&two)), (20, 20));
}
