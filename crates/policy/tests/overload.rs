//! When an entry leaves new connections to the others.

use policy::overload::{Capacity, DelayMeter, Load};
use std::fmt::Write;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn full_entries_leave_connections_to_others_that_are_less_full() {
    let loads = [
        ("idle", Load::default()),
        ("half of the connections", Load { connections: 1_000, ..Load::default() }),
        ("all connections", Load { connections: 2_000, ..Load::default() }),
        ("all connections, late", Load { connections: 2_000, delay: MS(50), ..Load::default() }),
        ("slow timers", Load { delay: MS(4), ..Load::default() }),
        ("late by 10 ms", Load { delay: MS(10), ..Load::default() }),
        ("late by 30 ms", Load { delay: MS(30), ..Load::default() }),
        ("link for 80 ms", Load { link_wait: MS(80), ..Load::default() }),
        ("late, link for 80 ms", Load { delay: MS(10), link_wait: MS(80), ..Load::default() }),
    ];
    let mut table = String::from("load | share resource | others unknown, idle, as full\n");
    for (name, load) in loads {
        for objective in [Some(MS(200)), Some(MS(2_000)), None] {
            let fullness = load.fullness(&Capacity { connections: 2_000, objective });
            let leaves = [None, Some(0.1), Some(fullness.share)]
                .map(|others| fullness.leaves_to_others(others));
            let (share, resource) = (fullness.share, fullness.resource.name());
            writeln!(table, "{name}, {objective:?} | {share:.2} {resource} | {leaves:?}").unwrap();
        }
    }
    insta::assert_snapshot!(table);
}

/// A process is frozen for seconds, or held up by one long step, and goes on. It must not turn
/// callers away for that.
#[test]
fn single_delays_do_not_count() {
    let mut meter = DelayMeter::default();
    let delays = [0, 0, 5_000, 0, 0, 0, 30, 40, 50, 35, 0];
    let measured = delays.map(|delay| {
        meter.record(MS(1_000), MS(1_000 + delay));
        meter.delay().as_millis()
    });
    assert_eq!(measured, [0, 0, 0, 0, 0, 0, 0, 0, 30, 35, 0]);
}
