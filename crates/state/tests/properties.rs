//! Properties of the folds under any interleaving of records, copies, lost and late writes.

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

/// Counts cases, to report how much was tried.
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

    /// Reports, and fails if the cases never came to what they are about.
    fn report(&self, what: &str) {
        let [cases, longest, runs] =
            [&self.cases, &self.longest, &self.runs].map(|count| count.load(Ordering::Relaxed));
        println!("{what}: {cases} cases, the longest of {longest} steps, {runs} took effect");
        assert!(runs > 0, "no case had an effect");
    }
}

/// Below this of 256, a step that would end most others' work is taken.
const RARE: u8 = 24;

/// One step of one of three processes, or of the network between them and the log.
#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    /// A process reads up to some records more.
    Read { process: u8, records: u8 },
    /// A process restarts with nothing and a new incarnation, if `luck` is low.
    Restart { process: u8, luck: u8 },
    /// A process claims, by what it has read: a free scope always, a held one if `luck` is low.
    Claim { process: u8, luck: u8, fate: Fate },
    /// A process renews.
    Renew { process: u8, fate: Fate },
    /// A process orders, or means to run a key.
    Act { process: u8, key: u8, fate: Fate },
    /// A process dispatches what it may, or says of what it gave up that it was not run.
    Settle { process: u8, intent: u8, run: bool, fate: Fate },
    /// A process reads all, acts, reads all and settles, as a quiet one does.
    Whole { process: u8, key: u8, run: bool, fate: Fate },
    /// A write that was under way lands.
    Land { write: u8 },
    /// A record is written again.
    Copy { record: u8 },
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, TypeGenerator)]
enum Fate {
    /// It is in the log, and its author knows the offset.
    Written,
    /// It is in the log, and the author finds it by reading.
    ReplyLost,
    /// The author gives it up, and it lands later or never.
    Late,
}

/// A process of the model.
#[derive(Clone, Default)]
struct Process<F> {
    state: F,
    incarnation: u64,
    /// Intents whose offset it knows, by key, and which it may still dispatch.
    intents: Vec<(Bytes, Offset)>,
}

/// The model: a log, writes under way, and processes that see a part of it.
#[derive(Default)]
struct Model<F> {
    log: Vec<Record>,
    flying: Vec<Record>,
    processes: [Process<F>; 3],
    /// How often each key reached the target.
    runs: HashMap<Bytes, u32>,
    ids: u64,
}

impl<F: Authority> Model<F> {
    fn write(&mut self, process: usize, body: Body, fate: Fate) -> Option<Offset> {
        self.ids += 1;
        let record = Record { id: self.ids, ..record(NAMES[process], body) };
        if fate == Fate::Late {
            self.flying.push(record);
            return None;
        }
        self.log.push(record);
        Some(self.log.len() as Offset - 1)
    }

    /// The claim that a process believes to hold.
    fn own(&self, process: usize) -> Option<Offset> {
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
                if let Some(claim) = self.own(process) {
                    self.write(process, renewal(SCOPE, claim), fate);
                }
            }
            Step::Land { write } => {
                if !self.flying.is_empty() {
                    let record = self.flying.remove(usize::from(write) % self.flying.len());
                    self.log.push(record);
                }
            }
            Step::Copy { record } => {
                if !self.log.is_empty() {
                    let copy = self.log[usize::from(record) % self.log.len()].clone();
                    self.log.push(copy);
                }
            }
            Step::Act { .. } | Step::Settle { .. } | Step::Whole { .. } => {}
        }
    }
}

impl Model<Calls> {
    fn call(&mut self, step: Step) {
        match step {
            Step::Act { process, key, fate } => {
                let process = usize::from(process) % 3;
                let Some(claim) = self.own(process) else { return };
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
                // Dispatched or given up, it is so once and for all.
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
            Step::Whole { process, key, run, fate } => {
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

/// Folds the log in several ways, which must end alike.
fn assert_all_readers_agree<F: Fold + std::fmt::Debug>(log: &[Record], cut: u8) {
    let whole: F = common::fold(log);
    let cut = usize::from(cut) % (log.len() + 1);
    let part: F = common::fold(&log[..cut]);
    let snapshot = Snapshot::of("s", &part);
    let mut resumed = snapshot.open::<F>().expect("it is whole");
    assert_eq!(resumed, part);
    assert_eq!(resumed.encode(), part.encode());
    for (offset, record) in (0..).zip(log).skip(cut) {
        let read = Record::read("s", offset, &record.bytes()).expect("it is whole");
        resumed.apply(offset, &read);
    }
    assert_eq!(resumed, whole);
}

// However records interleave, are copied, lost or late, a key reaches the target at most once.
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

// However records interleave, an order counts only if its claim was the last valid one before it,
// and a claim only if it names the last record of the holder before it.
#[test]
fn one_holder_at_each_offset_and_only_its_orders_count() {
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
            if let Some(claim) = model.own(process) {
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

/// Counts the orders that are valid; judges each record by what stands before it, without the fold's own bookkeeping.
fn assert_orders_have_a_holder(log: &[Record]) -> usize {
    let mut holder: Option<(String, Offset, Offset)> = None;
    let mut counts = HashSet::new();
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
            counts.insert(offset);
        }
    }
    let system: System = common::fold(log);
    let orders = ["engine-1", "engine-2"].into_iter().flat_map(|target| system.orders(target));
    assert_eq!(orders.map(|order| order.offset).collect::<HashSet<_>>(), counts);
    assert_eq!(system.holder(SCOPE).map(|h| (h.claim, h.last)), holder.map(|h| (h.1, h.2)));
    counts.len()
}

/// A change of one of a few resources that refer to each other.
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

// Whatever operators send, in whatever order: all readers agree, each accepted change counts a
// resource's generation up, and no resource in force refers to one that isn't.
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

// A torn record, a record of another program, or a frame of a broken peer.
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
        assert_eq!(Record::read("s", 0, &record.bytes()).expect("it reads"), record);
    });
}

// Any order that the fold takes in can be described in the audit trail and written down again.
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
        assert_eq!(opened.expect("it is whole"), system);
    });
}
