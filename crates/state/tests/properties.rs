//! Properties of the folds under any interleaving of records, duplicates, lost and late appends.

mod common;

use bolero::{TypeGenerator, ValueGenerator, produce};
use bytes::Bytes;
use common::{claim, record, renewal, set_role};
use conf::Kind;
use plat::Offset;
use serde_json::json;
use state::record::{Answer, Body, Change, Intent, OrderKind};
use state::{Authority, Calls, Config, Fold, Record, Snapshot, Snapshots, System};
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};

const SCOPE: &str = "target/ledger-1";
const NAMES: [&str; 3] = ["a", "b", "c"];

/// The most steps of one case.
const STEPS: usize = 300;

/// Counts the cases, for the report.
#[derive(Default)]
struct Tally {
    cases: AtomicUsize,
    longest: AtomicUsize,
    runs: AtomicUsize,
}

impl Tally {
    fn add(&self, steps: usize, runs: usize) {
        self.cases.fetch_add(1, Ordering::Relaxed);
        self.longest.fetch_max(steps, Ordering::Relaxed);
        self.runs.fetch_add(runs, Ordering::Relaxed);
    }

    /// Prints the counts, and fails if no case had the effect under test.
    fn report(&self, property: &str) {
        let [cases, longest, runs] =
            [&self.cases, &self.longest, &self.runs].map(|count| count.load(Ordering::Relaxed));
        println!("{property}: {cases} cases, the longest of {longest} steps, {runs} took effect");
        assert!(runs > 0, "no case had an effect");
    }
}

/// The number, out of 256, of `luck` values with which a disruptive step is taken.
const RARE: u8 = 24;

/// A step of one of three processes, or of the network between them and the log.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// A process reads up to `records` more records.
    Read { process: u8, records: u8 },
    /// A process restarts with an empty state and a new incarnation, if `luck` is low.
    Restart { process: u8, luck: u8 },
    /// A process claims, given the records it has read: always a free scope, a held one if `luck`
    /// is low.
    Claim { process: u8, luck: u8, fate: Fate },
    /// A process renews its claim.
    Renew { process: u8, fate: Fate },
    /// A process appends an order, or the intent to run a key.
    Act { process: u8, key: u8, fate: Fate },
    /// A process dispatches a call if it may, or records an abandoned one as not run.
    Settle { process: u8, intent: u8, run: bool, fate: Fate },
    /// A process reads all records, acts, reads all records and settles, as without concurrency.
    Sequential { process: u8, key: u8, run: bool, fate: Fate },
    /// A delayed append arrives.
    Arrive { write: u8 },
    /// A record is duplicated.
    Duplicate { record: u8 },
}

/// The outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, TypeGenerator)]
enum Fate {
    /// The record is in the log, and its author got the offset.
    Written,
    /// The record is in the log, and its author finds it by reading.
    ReplyLost,
    /// The author abandons the append, which arrives later or never.
    Delayed,
}

/// A process of the model.
#[derive(Clone, Default)]
struct Process<F> {
    state: F,
    incarnation: u64,
    /// The keys and known offsets of the intents that it may still dispatch.
    intents: Vec<(Bytes, Offset)>,
}

/// The model: a log, delayed appends, and processes that have read a part of the log.
#[derive(Default)]
struct Model<F> {
    log: Vec<Record>,
    delayed: Vec<Record>,
    processes: [Process<F>; 3],
    /// The number of times that each key reached the target.
    runs: HashMap<Bytes, u32>,
    ids: u64,
}

impl<F: Authority> Model<F> {
    fn write(&mut self, process: usize, body: Body, fate: Fate) -> Option<Offset> {
        self.ids += 1;
        let record = Record { id: self.ids, ..record(NAMES[process], body) };
        if fate == Fate::Delayed {
            self.delayed.push(record);
            return None;
        }
        self.log.push(record);
        Some(self.log.len() as Offset - 1)
    }

    /// The claim that a process holds by its own state.
    fn held_claim(&self, process: usize) -> Option<Offset> {
        let Process { state, incarnation, .. } = &self.processes[process];
        let holder = state.holder(SCOPE).filter(|h| h.is(NAMES[process], *incarnation));
        holder.map(|holder| holder.claim)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Read { process, records } => {
                let process = &mut self.processes[usize::from(process) % 3];
                for _ in 0..records {
                    let at = process.state.end();
                    let Some(record) = usize::try_from(at).ok().and_then(|at| self.log.get(at))
                    else {
                        return;
                    };
                    process.state.apply(at, record);
                }
            }
            Step::Restart { luck, .. } if luck >= RARE => {}
            Step::Restart { process, .. } => {
                self.ids += 1;
                self.processes[usize::from(process) % 3] =
                    Process { incarnation: self.ids, ..Process::default() };
            }
            Step::Claim { process, luck, fate } => {
                let process = usize::from(process) % 3;
                let Process { state, incarnation, .. } = &self.processes[process];
                if luck >= RARE && state.holder(SCOPE).is_some() {
                    return;
                }
                let body = claim(SCOPE, state.holder(SCOPE).map(|h| h.last), *incarnation);
                self.write(process, body, fate);
            }
            Step::Renew { process, fate } => {
                let process = usize::from(process) % 3;
                if let Some(claim) = self.held_claim(process) {
                    self.write(process, renewal(SCOPE, claim), fate);
                }
            }
            Step::Arrive { write } => {
                if !self.delayed.is_empty() {
                    let record = self.delayed.remove(usize::from(write) % self.delayed.len());
                    self.log.push(record);
                }
            }
            Step::Duplicate { record } => {
                if !self.log.is_empty() {
                    let copy = self.log[usize::from(record) % self.log.len()].clone();
                    self.log.push(copy);
                }
            }
            Step::Act { .. } | Step::Settle { .. } | Step::Sequential { .. } => {}
        }
    }
}

impl Model<Calls> {
    fn call(&mut self, step: Step) {
        match step {
            Step::Act { process, key, fate } => {
                let process = usize::from(process) % 3;
                let Some(claim) = self.held_claim(process) else { return };
                let key = Bytes::from(vec![key % 2]);
                let digest = Bytes::new();
                let intent = Intent { key: key.clone(), digest, scope: SCOPE.into(), claim };
                if let Some(offset) = self.write(process, Body::Intent(intent), fate) {
                    self.processes[process].intents.push((key, offset));
                }
            }
            Step::Settle { process, intent, run, fate } => {
                let process = usize::from(process) % 3;
                let intents = &mut self.processes[process].intents;
                if intents.is_empty() {
                    return;
                }
                // A call is dispatched or abandoned only once.
                let (key, intent) = intents.remove(usize::from(intent) % intents.len());
                let state = &self.processes[process].state;
                let Some(claim) = state.call(&key).map(|call| call.claim) else { return };
                if state.end() <= intent || !state.may_dispatch(&key, intent) {
                    return;
                }
                let mut answer = Answer { intent, claim, ..Answer::default() };
                if run {
                    *self.runs.entry(key).or_default() += 1;
                    answer.status = 200;
                } else {
                    answer.not_run = true;
                }
                self.write(process, Body::Answer(answer), fate);
            }
            Step::Sequential { process, key, run, fate } => {
                let records = u8::MAX;
                self.step(Step::Read { process, records });
                self.call(Step::Act { process, key, fate });
                self.step(Step::Read { process, records });
                self.call(Step::Settle { process, intent: u8::MAX, run, fate });
            }
            other => self.step(other),
        }
    }
}

fn cases() -> impl ValueGenerator<Output = (Vec<Step>, u8)> {
    (produce::<Vec<Step>>().with().len(0..=STEPS), produce::<u8>())
}

/// Folds the log in several ways, which must result in the same state.
fn assert_all_readers_agree<F: Fold + std::fmt::Debug>(log: &[Record], cut: u8) {
    let full: F = common::fold(log);
    let cut = usize::from(cut) % (log.len() + 1);
    let part: F = common::fold(&log[..cut]);
    let snapshot = Snapshot::of("s", &part);
    let mut resumed = snapshot.open::<F>().expect("the bytes are valid");
    assert_eq!(resumed, part);
    assert_eq!(resumed.encode(), part.encode());
    for (offset, record) in (0..).zip(log).skip(cut) {
        let read = Record::read("s", offset, &record.bytes()).expect("the bytes are valid");
        resumed.apply(offset, &read);
    }
    assert_eq!(resumed, full);
}

// However records are interleaved, duplicated, lost or late, a key reaches the target at most
// once.
#[test]
fn each_key_runs_at_most_once() {
    let tally = Tally::default();
    bolero::check!().with_generator(cases()).cloned().for_each(|(steps, cut)| {
        let count = steps.len();
        let mut model = Model::<Calls>::default();
        for step in steps {
            model.call(step);
            assert!(model.runs.values().all(|runs| *runs <= 1), "{:?}", model.log);
        }
        assert_all_readers_agree::<Calls>(&model.log, cut);
        tally.add(count, model.runs.len());
    });
    tally.report("each key at most once");
}

// However records are interleaved, an order is valid only if its claim was the last valid one
// before it, and a claim only if it names the last record of the holder before it.
#[test]
fn one_holder_at_each_offset_and_only_its_orders_are_valid() {
    let tally = Tally::default();
    bolero::check!().with_generator(cases()).cloned().for_each(|(steps, cut)| {
        let count = steps.len();
        let mut model = Model::<System>::default();
        for step in steps {
            let Step::Act { process, key, fate } = step else {
                model.step(step);
                continue;
            };
            let process = usize::from(process) % 3;
            if let Some(claim) = model.held_claim(process) {
                let target = if key % 2 == 0 { "engine-1" } else { "engine-2" };
                model.write(process, set_role(SCOPE, claim, target, "decode"), fate);
            }
        }
        let orders = assert_orders_have_a_holder(&model.log);
        assert_all_readers_agree::<System>(&model.log, cut);
        tally.add(count, orders);
    });
    tally.report("one holder at each offset");
}

/// Counts the valid orders. Judges each record by the records before it, without the fold.
fn assert_orders_have_a_holder(log: &[Record]) -> usize {
    let mut holder: Option<(String, Offset, Offset)> = None;
    let mut valid_offsets = HashSet::new();
    for (offset, record) in (0..).zip(log) {
        let by_holder = |claim| {
            holder.as_ref().is_some_and(|(who, held, _)| *who == record.author && *held == claim)
        };
        let valid = match &record.body {
            Some(Body::Claim(claim)) => holder.as_ref().map(|h| h.2) == claim.supersedes,
            Some(Body::Renewal(renewal)) => by_holder(renewal.claim),
            Some(Body::Order(order)) => by_holder(order.claim),
            other => panic!("{other:?}"),
        };
        match (&record.body, valid) {
            (Some(Body::Claim(_)), true) => holder = Some((record.author.clone(), offset, offset)),
            (_, true) => holder.iter_mut().for_each(|holder| holder.2 = offset),
            (_, false) => {}
        }
        if valid && matches!(record.body, Some(Body::Order(_))) {
            valid_offsets.insert(offset);
        }
    }
    let system: System = common::fold(log);
    let orders = ["engine-1", "engine-2"].into_iter().flat_map(|target| system.orders(target));
    assert_eq!(orders.map(|order| order.offset).collect::<HashSet<_>>(), valid_offsets);
    assert_eq!(system.holder(SCOPE).map(|h| (h.claim, h.last)), holder.map(|h| (h.1, h.2)));
    valid_offsets.len()
}

/// A change of one of several resources that refer to each other.
#[derive(Debug, Clone, Copy, TypeGenerator)]
struct Edit {
    kind: u8,
    name: u8,
    refers: u8,
    delete: bool,
    expects: Option<u8>,
}

fn change(edit: &Edit) -> Body {
    let model = format!("n{}", edit.refers % 3);
    let (kind, spec) = match edit.kind % 4 {
        0 => (Kind::Model, json!({"context_tokens": edit.refers})),
        1 => (Kind::Adapter, json!({"model": model, "artifact": "x"})),
        2 => (Kind::Caller, json!({"token_sha256": format!("{:064x}", edit.refers % 3)})),
        _ => {
            let agent = format!("h:{}", edit.refers % 4);
            (Kind::Target, json!({"domain": "d", "agent": agent, "models": [model]}))
        }
    };
    Body::Change(Change {
        kind: kind.name().to_owned(),
        name: format!("n{}", edit.name % 3),
        spec: (!edit.delete).then(|| spec.to_string()),
        expects: edit.expects.map(|expects| u64::from(expects % 4)),
    })
}

// For any changes in any order: all readers agree, each accepted change increments the generation
// of its resource, and no resource in effect refers to one that is not.
#[test]
fn accepted_changes_never_revert_and_references_hold() {
    let tally = Tally::default();
    let edits = (produce::<Vec<Edit>>().with().len(0..=STEPS), produce::<u8>());
    bolero::check!().with_generator(edits).cloned().for_each(|(edits, cut)| {
        let log = edits.iter().map(|edit| record("ana", change(edit))).collect::<Vec<_>>();
        let config: Config = common::fold(&log);
        let mut last = HashMap::new();
        for audit in config.audit() {
            let Ok(generation) = audit.outcome else { continue };
            let before = last.insert((audit.kind.clone(), audit.name.clone()), generation);
            assert_eq!(generation, before.unwrap_or_default() + 1);
        }
        for entry in config.resources() {
            let model = entry.resource.spec.get("model").and_then(|model| model.as_str());
            assert!(model.is_none_or(|model| config.get(Kind::Model, model).is_some()));
        }
        assert_all_readers_agree::<Config>(&log, cut);
        tally.add(edits.len(), last.len());
    });
    tally.report("accepted changes never revert");
}

// Corrupt records, records of another program, or replies of a faulty peer.
#[test]
fn any_bytes_decode_or_fail_without_a_panic() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        let _ = Snapshots::read("peer", bytes);
        let _ = System::decode(bytes);
        let _ = Calls::decode(bytes);
        let _ = Config::decode(bytes);
        let Ok(record) = Record::read("s", 0, bytes) else { return };
        let mut system = System::default();
        system.apply(0, &record);
        let mut calls = Calls::default();
        calls.apply(0, &record);
        let mut config = Config::default();
        config.apply(0, &record);
        assert_eq!(Record::read("s", 0, &record.bytes()).expect("the record is valid"), record);
    });
}

// Any order that the fold accepts can be described in the audit trail and encoded in a snapshot.
#[test]
fn any_order_survives_a_snapshot() {
    bolero::check!().with_type::<(String, String)>().for_each(|(target, role)| {
        let mut system = System::default();
        system.apply(0, &record("a", claim(SCOPE, None, 1)));
        let kind = Some(OrderKind::SetRole(role.clone()));
        let (scope, target) = (SCOPE.to_owned(), target.clone());
        let order = state::record::Order { scope, claim: 0, target, kind };
        system.apply(1, &record("a", Body::Order(order)));
        let opened = Snapshot::of("s", &system).open::<System>();
        assert_eq!(opened.expect("the bytes are valid"), system);
    });
}
