//! The order in which waiting requests start.

use policy::estimate::Cost;
use policy::queue::{Item, Pushed, Queue, Settings};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn item(id: u64, caller: &str, work: u64) -> Item<()> {
    Item {
        id,
        caller: caller.into(),
        weight: 1,
        urgent: false,
        cost: Cost::new(0, work),
        deadline: None,
        begun: false,
        value: (),
    }
}

fn urgent(id: u64, caller: &str, work: u64) -> Item<()> {
    Item { urgent: true, ..item(id, caller, work) }
}

fn single_slot() -> Queue<()> {
    Queue::new(Settings { slots: 1, ..Settings::default() })
}

/// Starts and ends items one after the other, and returns their ids.
fn order(queue: &mut Queue<()>, many: usize) -> Vec<u64> {
    let next = |queue: &mut Queue<()>| {
        let id = queue.pop(NOW)?.id;
        queue.done(id);
        Some(id)
    };
    (0..many).filter_map(|_| next(queue)).collect()
}

// A caller's loop has filled the queue before the first request of another caller arrives. In order
// of arrival, that request would wait behind the whole flood.
#[test]
fn new_caller_goes_before_a_flood() {
    let mut queue = single_slot();
    (0..50).for_each(|id| assert_eq!(queue.push(item(id, "flood", 100), NOW), Pushed::Queued));
    order(&mut queue, 10);
    queue.push(item(100, "quiet", 100), NOW);
    let position = order(&mut queue, 40).iter().position(|id| *id == 100);
    assert!(position.is_some_and(|position| position <= 1), "served as number {position:?}");
}

// An urgent request of the flooding caller starts out of order. If that advanced the virtual time
// to its tag, a new caller would be queued behind the whole flood.
#[test]
fn out_of_order_start_does_not_delay_new_callers() {
    let mut queue = single_slot();
    (0..50).for_each(|id| drop(queue.push(item(id, "flood", 100), NOW)));
    queue.push(urgent(90, "flood", 100), NOW);
    assert_eq!(order(&mut queue, 1), [90]);
    queue.push(item(100, "quiet", 100), NOW);
    assert!(order(&mut queue, 3).contains(&100));
}

#[test]
fn caller_with_twice_the_weight_gets_twice_the_work() {
    let mut queue = single_slot();
    for id in 0..60 {
        queue.push(Item { weight: 2, ..item(id, "heavy", 100) }, NOW);
        queue.push(item(100 + id, "light", 100), NOW);
    }
    let heavy = order(&mut queue, 60).iter().filter(|id| **id < 60).count();
    assert!((38..=42).contains(&heavy), "{heavy} of 60");
}

// An urgent reply arrives while the queue is full of other requests. It has to start next.
#[test]
fn urgent_request_goes_first() {
    let mut queue = single_slot();
    (0..20).for_each(|id| drop(queue.push(item(id, "reader", 100), NOW)));
    queue.push(urgent(100, "rescue", 100), NOW);
    assert_eq!(order(&mut queue, 1), [100]);
}

// A caller marks all its requests as urgent. Others would never be served.
#[test]
fn urgent_flood_does_not_starve_others() {
    let mut queue = single_slot();
    (0..100).for_each(|id| drop(queue.push(urgent(id, "pusher", 100), NOW)));
    (100..120).for_each(|id| drop(queue.push(item(id, "reader", 100), NOW)));
    let normal = order(&mut queue, 50).iter().filter(|id| **id >= 100).count();
    assert!((8..=12).contains(&normal), "{normal} of 50 are not urgent");
}

// A few jobs a hundred times longer than the rest arrive first and take every slot. Short requests
// then wait for minutes.
#[test]
fn long_jobs_leave_slots_for_short_ones() {
    let mut queue = Queue::new(Settings { slots: 4, ..Settings::default() });
    queue.push(item(0, "short", 50), NOW);
    (10..14).for_each(|id| drop(queue.push(item(id, "batch", 4_000), NOW)));
    let started: Vec<u64> = std::iter::from_fn(|| queue.pop(NOW)).map(|item| item.id).collect();
    assert_eq!(started, [0, 10, 11]);
    queue.push(item(1, "short", 50), NOW);
    assert_eq!(queue.pop(NOW).map(|item| item.id), Some(1));
}

#[test]
fn long_jobs_take_all_slots_without_short_ones() {
    let mut queue = Queue::new(Settings { slots: 4, ..Settings::default() });
    (0..4).for_each(|id| drop(queue.push(item(id, "batch", 4_000), NOW)));
    assert_eq!(std::iter::from_fn(|| queue.pop(NOW)).count(), 4);
}

// The caller has given up by the time its request could start. Running it would take the slot from
// one that still waits, and under overload all work would be of that kind.
#[test]
fn expired_request_never_starts() {
    let mut queue = single_slot();
    queue.push(Item { deadline: Some(NOW), ..item(1, "a", 100) }, NOW);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(queue.pop(later), None);
    assert_eq!(queue.expire(later).len(), 1);
    assert_eq!(queue.backlog().requests, 0);
}

// One caller has filled the bounded queue. Refusing the next caller would be unfair to it.
#[test]
fn full_queue_displaces_the_newest_item_of_the_flood() {
    let mut queue = Queue::new(Settings { capacity: 1_000, ..Settings::default() });
    (0..10).for_each(|id| drop(queue.push(item(id, "flood", 100), NOW)));
    assert!(matches!(queue.push(item(50, "flood", 100), NOW), Pushed::Full(_)));
    let Pushed::Displaced(displaced) = queue.push(item(60, "quiet", 100), NOW) else {
        panic!("nothing was displaced")
    };
    assert_eq!(displaced.iter().map(|item| item.id).collect::<Vec<_>>(), [9]);
}

// The caller of a migrated stream is already receiving it. Displacing it would cut the response.
#[test]
fn begun_item_is_never_displaced() {
    let mut queue = Queue::new(Settings { capacity: 200, ..Settings::default() });
    queue.push(Item { begun: true, ..item(1, "flood", 150) }, NOW);
    assert!(matches!(queue.push(item(2, "quiet", 100), NOW), Pushed::Full(_)));
    assert_eq!(queue.push(Item { begun: true, ..item(3, "flood", 150) }, NOW), Pushed::Queued);
}

#[test]
fn work_ahead_of_a_new_caller_excludes_the_flood() {
    let mut queue = single_slot();
    (0..20).for_each(|id| drop(queue.push(item(id, "flood", 100), NOW)));
    assert!(queue.ahead("quiet", false).decode <= 100);
    assert_eq!(queue.ahead("flood", false).decode, 2_000);
    assert_eq!(queue.ahead("flood", true).decode, 0);
}

// For any sequence of operations, no item is lost or returned twice, and the backlog is the sum of
// the waiting items. A backlog that drifts would close the queue permanently.
#[test]
fn items_and_backlog_are_conserved() {
    bolero::check!().with_type::<Vec<(u8, u8, u16)>>().for_each(|steps| {
        let mut queue = Queue::new(Settings { slots: 3, capacity: 20_000, ..Settings::default() });
        let mut waiting = std::collections::BTreeMap::new();
        for (id, (kind, caller, work)) in (0u64..).zip(steps) {
            match kind % 4 {
                0 | 1 => {
                    let mut item = item(id, &caller.to_string(), u64::from(*work));
                    item.urgent = kind % 8 == 1;
                    waiting.insert(id, item.cost);
                    match queue.push(item, NOW) {
                        Pushed::Queued => {}
                        Pushed::Displaced(displaced) => displaced.iter().for_each(|item| {
                            assert!(waiting.remove(&item.id).is_some());
                        }),
                        Pushed::Full(item) => drop(waiting.remove(&item.id)),
                    }
                }
                2 => {
                    if let Some(item) = queue.pop(NOW) {
                        assert!(waiting.remove(&item.id).is_some());
                        queue.done(item.id);
                    }
                }
                _ => {
                    if let Some(item) = queue.remove(u64::from(*work) % (id + 1)) {
                        assert!(waiting.remove(&item.id).is_some());
                    }
                }
            }
            let sum = waiting.values().fold(Cost::default(), |sum, cost| sum + *cost);
            assert_eq!((queue.backlog().requests, queue.backlog().cost), (waiting.len(), sum));
        }
    });
}
