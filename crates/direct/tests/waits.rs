//! Sums of the lines that requests log when they end.

use direct::plot::{self, Scale};
use direct::request::response::{Failure, Refusal};
use direct::waits::Verdict;
use direct::waits::summary::Summary;
use direct::waits::table::{self, Table};
use insta::assert_snapshot;

/// By line: in time; the same behind a collector's prefix, begun in the second before its end; late
/// by its first piece; late by a pause; cut off in a pause; without a pause limit; timed out while
/// it waited for a slot; refused; failed by a plain target; cut off lines; dropped lines; others. Lines with a promise are
/// one kept, one late and one that timed out; the others are like those of earlier builds.
const LINES: &str = r#"
timestamp=2026-06-01T15:00:01.900000+00:00 level=INFO module=request position=a.rs:1 message="request served" id=r1 route=chat version=2 outcome=complete sendings=2 targets=read:i-1:ok:20,write:i-2:ok:60 first_ms=82.5 ms=800.0 slot_ms=61.5 network_ms=1.0 transfer_ms=12.0 promised_ms=15.0 reserve_ms=75.0 pieces=72 gap_ms=90.5 gap_target=i-2 gap_streams=20 gap_prompts=0 priority=0 objective_ms=150.0 max_gap_ms=200.0
  3.05 edge-2 timestamp=2026-06-01T15:00:02.100000Z level=INFO module=request position=a.rs:1 message="request served" id=r2 route=chat version=2 outcome=complete sendings=1 targets=write:i-2:ok:40 first_ms=45.0 ms=200.5 slot_ms=41.0 pieces=9 gap_ms=50.0 gap_target=i-2 gap_streams=22 gap_prompts=0 priority=0 objective_ms=150.0 max_gap_ms=200.0
timestamp=2026-06-01T15:00:02.500000Z level=INFO module=request position=a.rs:1 message="request served" id=r3 route=chat version=2 outcome=complete sendings=3 targets=read:i-1:refused:2,read:i-4:ok:100,write:i-3:ok:300 first_ms=404.0 ms=450.0 slot_ms=301.0 network_ms=3.0 transfer_ms=14.0 promised_ms=60.0 reserve_ms=75.0 pieces=1 gap_ms=-1.0 gap_target= gap_streams=0 gap_prompts=0 priority=0 objective_ms=150.0 max_gap_ms=200.0
timestamp=2026-06-01T15:00:02.600000Z level=INFO module=request position=a.rs:1 message="request served" id=r4 route=chat version=2 outcome=complete sendings=1 targets=write:i-3:ok:30 first_ms=31.0 ms=580.0 slot_ms=30.5 pieces=72 gap_ms=240.0 gap_target=i-3 gap_streams=24 gap_prompts=2 priority=0 objective_ms=150.0 max_gap_ms=200.0
timestamp=2026-06-01T15:00:02.700000Z level=WARN module=request position=a.rs:1 message="request not served" id=r5 route=chat version=2 outcome=broken-off sendings=1 targets=write:i-3:ok:30 first_ms=31.0 ms=680.0 slot_ms=30.5 pieces=12 gap_ms=300.0 gap_target=i-3 gap_streams=24 gap_prompts=4 priority=0 objective_ms=150.0 max_gap_ms=200.0
timestamp=2026-06-01T15:00:02.800000Z level=INFO module=request position=a.rs:1 message="request served" id=r6 route=chapters version=2 outcome=complete sendings=2 targets=read:i-1:ok:40,write:i-3:ok:20 first_ms=70.0 ms=700.0 slot_ms=21.0 pieces=2 gap_ms=600.0 gap_target=i-3 gap_streams=24 gap_prompts=1 priority=2 objective_ms=500.0 max_gap_ms=-1.0
timestamp=2026-06-01T15:00:04.200000Z level=WARN module=request position=a.rs:1 message="request not served" id=r7 route=chapters version=2 outcome=late sendings=2 targets=read:i-1:ok:50,write:i-2:late:2100 first_ms=-1.0 ms=2152.0 slot_ms=-1.0 network_ms=-1.0 transfer_ms=-1.0 promised_ms=40.0 reserve_ms=75.0 pieces=0 gap_ms=-1.0 gap_target= gap_streams=0 gap_prompts=0 priority=2 objective_ms=500.0 max_gap_ms=-1.0
timestamp=2026-06-01T15:00:02.900000Z level=WARN module=request position=a.rs:1 message="request not served" id=r8 route=chapters version=2 outcome=prompts-full sendings=0 targets= first_ms=-1.0 ms=0.3 slot_ms=-1.0 pieces=0 gap_ms=-1.0 gap_target= gap_streams=0 gap_prompts=0 priority=2 objective_ms=500.0 max_gap_ms=-1.0
timestamp=2026-06-01T15:00:02.950000Z level=INFO module=request position=a.rs:1 message="request served" id=r9 route=plain version=2 outcome=complete sendings=1 targets=whole:i-9:failed:4 first_ms=4.1 ms=4.2 slot_ms=-1.0 pieces=1 gap_ms=-1.0 gap_target= gap_streams=0 gap_prompts=0 priority=0 objective_ms=100.0 max_gap_ms=-1.0
timestamp=2026-06-01T15:00:02.960000Z level=INFO module=request position=a.rs:1 message="request served" id=r10 route=chat version=2 outcome=complete sendings=1 targets=write:i-3:ok:30 first_ms=31.0 ms=5
timestamp=2026-06-01T15:00:02.970000Z level=INFO module=request position=a.rs:1 message="request se
level=WARN message="lines dropped" count=7
timestamp=2026-06-01T15:00:02.980000Z level=INFO module=request position=a.rs:1 message="no route" path=/ version=2
"#;

fn summary() -> Summary {
    let mut summary = Summary::default();
    LINES.lines().for_each(|line| summary.add_line(line));
    summary
}

#[test]
fn requests_are_summed_up_as_text() {
    assert_snapshot!(table::text(&summary(), &Table::ALL));
}

#[test]
fn requests_are_summed_up_as_json() {
    let all = table::json(&summary(), &Table::ALL);
    assert_snapshot!(serde_json::to_string_pretty(&all).unwrap());
}

/// An empty log, or one of a process that has served nothing yet, must not end in an error.
#[test]
fn without_requests_there_is_nothing_to_show() {
    let summary = Summary::default();
    assert_eq!(table::text(&summary, &Table::ALL), "");
    assert!(plot::draw(&summary.series(), Scale::Linear).unwrap().contains("</svg>"));
}

#[test]
fn plot_has_a_line_for_each_count() {
    let series = summary().series();
    let arrivals: Vec<_> = series.iter().filter(|series| series.label == "arrivals").collect();
    assert_eq!(arrivals[0].points, [(0, 2), (1, 7)]);
    let svg = plot::draw(&series, Scale::Linear).unwrap();
    assert!(series.iter().all(|series| svg.contains(series.label.as_str())), "{svg}");
}

/// Failures are told apart by name. One that is missing there would count as a refusal, and on-call
/// engineers would take requests that may have run for requests that have not.
#[test]
fn refusals_and_failures_are_told_apart() {
    for failure in [Failure::Lost, Failure::TimedOut] {
        assert_eq!(Verdict::of_failure(failure.name()), Verdict::Failed);
    }
    for aborted in ["broken-off", "time-up", "not-resumed", "caller-left"] {
        assert_eq!(Verdict::of_failure(aborted), Verdict::Failed);
    }
    for refusal in [Refusal::PrefillFull, Refusal::NoDecodeEngine, Refusal::Stopping] {
        assert_eq!(Verdict::of_failure(refusal.name()), Verdict::Refused);
    }
}
