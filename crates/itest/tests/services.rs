//! Calls of plain services: what may be tried again is, what may not runs once, and callers are
//! told the truth.

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
    send(entry, request.body(Bytes::from_static(b"5")).expect("valid")).await
}

fn told(answer: &Answer) -> (u16, String, String) {
    let body: Value = serde_json::from_str(&answer.body).expect("problem details");
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    (answer.status, text("reason"), text("run"))
}

fn key_of(submit: &wire::Submit) -> String {
    match &submit.request.as_ref().expect("a request").work {
        Some(Work::Call(call)) => call.key.clone(),
        other => panic!("expected a call, got {other:?}"),
    }
}

// The connection to the agent breaks after a transfer was handed to it. Sent to another target it
// could move funds twice; reported as not run, its caller would send it again.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_not_be_repeated_is_sent_once_and_its_loss_is_called_unknown() {
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
    let answer = asking.await.expect("answered");
    assert_eq!(told(&answer), (502, "agent-lost".into(), "unknown".into()));
    assert!(other.next_within(Duration::from_secs(5)).await.is_none(), "no second run");
}

// The home of a key is cut off from the entry. Sent elsewhere, the call could run beside one that
// came through another entry; refused without saying so, its caller would not know.
#[tokio::test(start_paused = true)]
async fn a_call_whose_home_is_out_of_reach_is_refused_as_not_run() {
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
            assert_eq!(told(&answer), (503, "agent-unreachable".into(), "not-run".into()));
            refused += 1;
        }
    }
    assert!((1..16).contains(&refused), "{refused} of 16 keys have their home at ledger-1");
    let runs = |service: &fake::MemoryService| service.runs().values().sum::<u32>();
    assert_eq!(runs(&one), 0);
    assert_eq!(runs(&two), 16 - refused);
}

// Two entries see different targets alive. If each chose among those, one key would have two
// homes.
#[tokio::test(start_paused = true)]
async fn a_key_has_the_same_home_through_all_entries() {
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
        let (home_left, seen) = tokio::select! {
            submit = one_left.next_submit() => (1, submit),
            submit = two_left.next_submit() => (2, submit),
        };
        let (home_right, seen_right) = tokio::select! {
            submit = one_right.next_submit() => (1, submit),
            submit = two_right.next_submit() => (2, submit),
        };
        assert_eq!(home_left, home_right);
        assert_eq!(key_of(&seen), key_of(&seen_right));
        a.abort();
        b.abort();
        // The cancels of the two are read, so that the next round sees submissions only.
        let (near, far) = if home_left == 1 {
            (&mut one_left, &mut one_right)
        } else {
            (&mut two_left, &mut two_right)
        };
        near.next().await;
        far.next().await;
    }
}

// A call without a key may not be repeated. Two of them with the same content are two calls, and
// must not be taken for one.
#[tokio::test(start_paused = true)]
async fn calls_without_a_key_get_one_each_that_no_caller_can_choose() {
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
        let answer = asking.await.expect("answered");
        assert_eq!(told(&answer), (503, "log-unavailable".into(), "not-run".into()));
    }
    assert!(keys[0] != keys[1] && keys[0].starts_with("implicit-"), "{keys:?}");
    assert_eq!(keys[2], "caller-implicit-1");
}

// A tile server breaks off in the middle of its answer. The volunteer would have to download the
// tile again on a weak signal, although another instance has it.
#[tokio::test(start_paused = true)]
async fn a_call_that_may_be_repeated_is_answered_by_another_instance() {
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

// The platform's list says that a VM leaves, or an operator says so of a target. Work that is sent
// there afterwards would be cut with the VM.
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
