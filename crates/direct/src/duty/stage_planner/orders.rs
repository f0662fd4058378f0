//! Executes a plan: announces it, and sends orders to the engines that it names.
//!
//! An entry that was frozen, or whose append got a late response, sends no orders: [`MAX_PLAN_AGE`]
//! is measured from before the append, by a clock that also counts suspended time.

use super::Planner;
use crate::cluster::clock::since_boot;
use crate::cluster::splits::SplitRow;
use crate::cluster::tail::{RecordSpan, Topic};
use crate::codec::{EngineReport, StageOrder};
use crate::config::route::Stage;
use crate::exchange::dissemination;
use crate::exchange::entry_stream;
use crate::exchange::notice::{self, Kind, Plan};
use crate::targets::attempt;
use crate::targets::target::{STAGE_CHANGE_TIMEOUT, Target};
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, StatusCode};
use plat::{Offset, Record, epoch};
use std::sync::Arc;
use std::time::Duration;

/// Engines, each with the stage that it is to have.
pub(super) type StageChanges = Vec<(Arc<Target>, Stage)>;

/// The time between the announcement and the orders: two reads of the entries' stream.
pub(super) const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(2_200);

/// The same where the load can't wait: entries receive the plan by datagram. An entry that misses
/// it still sends work to engines that change; they refuse it, and it is sent to another engine.
pub(super) const DATAGRAM_ANNOUNCEMENT_TIME: Duration = Duration::from_millis(400);

/// How often a plan is appended, if others append other records at the same time.
const MAX_APPENDS: usize = 3;

/// The most records that are read between two appends of a plan.
const MAX_RECORDS: usize = 64;

/// No orders are sent later than this after the append began.
const MAX_PLAN_AGE: Duration = Duration::from_millis(5_000);

/// How long an engine may take for a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

impl Planner {
    /// Appends the plan, and sends its orders after `announcement_time`, when the other entries
    /// have read it.
    /// They lead to `split`, if they are made to change it.
    pub(super) async fn execute(
        &self,
        changes: StageChanges,
        split: Option<SplitRow>,
        announcement_time: Duration,
    ) {
        let Some(end) = self.stream_view.borrow().end else { return };
        let engines_for = |planned: Stage| {
            let ids = changes.iter().filter(|(_, stage)| *stage == planned);
            ids.map(|(target, _)| target.id.to_string()).collect()
        };
        let plan = Plan {
            planner: self.shared.settings.name.to_string(),
            to_prefill: engines_for(Stage::Prefill),
            to_decode: engines_for(Stage::Decode),
            created_us: u64::try_from(self.shared.usage.clock.now().as_micros())
                .unwrap_or_default(),
            split,
        };
        let began = since_boot();
        let record = notice::encode(Kind::Plan(plan.clone()));
        let Some(plan_offset) = self.append(end, &record).await else {
            // What other entries have appended is read at once.
            self.shared.entry_stream_changed.notify_one();
            return;
        };
        if let Some(split) = &plan.split {
            self.shared.splits.merge(split, plan_offset);
        }
        entry_stream::expect_changes(&self.shared, &plan, STAGE_CHANGE_TIMEOUT);
        let (topic, start) = (Topic::Notices, self.shared.tail.change_end(Topic::Notices));
        let record =
            Record { offset: plan_offset, key: CompactString::default(), value: Some(record) };
        let (end, log_degraded, records) = (plan_offset + 1, false, vec![record]);
        let span = RecordSpan { topic, start, end, log_degraded, whole: false, records };
        dissemination::send(&self.shared, &span);
        tokio::time::sleep(announcement_time).await;
        let orders = changes.into_iter().map(|(target, stage)| async move {
            if since_boot().saturating_sub(began) > MAX_PLAN_AGE {
                log::warn!(target: "stages", target_id = target.id.as_str(), fence = plan_offset;
                    "order not given: the plan is too old");
                return;
            }
            self.order(&target, stage, plan_offset).await;
        });
        futures_util::future::join_all(orders).await;
    }

    /// Appends a plan to the stream, which is known up to `end`; `None` if it was not appended or
    /// that is not certain, in which case no orders may be sent for it.
    ///
    /// If the stream has moved on, it is read up to its end. The plan is still valid if the others
    /// have appended no plan.
    async fn append(&self, mut end: Offset, record: &Bytes) -> Option<Offset> {
        for _ in 0..MAX_APPENDS {
            let error = match self.log.append_at(entry_stream::STREAM, end, record.clone()).await {
                Ok(offset) => return Some(offset),
                Err(error) => error,
            };
            log::info!(target: "stages", error:% = error; "plan not made");
            if !matches!(error, plat::Error::Conflict { .. }) {
                return None;
            }
            // The records have no keys, so `changes` would leave them out.
            let read = self.log.read(entry_stream::STREAM, end, MAX_RECORDS, Duration::ZERO).await;
            let batch = read
                .inspect_err(|error| {
                    log::info!(target: "stages", error:% = error; "stream not read");
                })
                .ok()?;
            let restored = epoch::epoch(batch.end) != epoch::epoch(end);
            if restored || batch.entries.iter().any(|entry| notice::is_plan(&entry.bytes)) {
                return None;
            }
            end = batch.entries.last().map_or(end, |entry| entry.offset + 1);
        }
        None
    }

    /// Orders one engine to change its stage, if it still has to.
    async fn order(&self, engine: &Arc<Target>, stage: Stage, plan_offset: Offset) {
        let codec = &*self.shared.codec;
        let report = match self.report(engine).await {
            Ok(report)
                if report.incarnation.is_some() && report.incarnation != engine.incarnation =>
            {
                // It has restarted: what the plan assumed of it no longer holds.
                log::info!(target: "stages", target_id = engine.id.as_str(),
                    born:? = report.incarnation;
                    "order not given: the engine started again");
                return;
            }
            Ok(report) if report.stage != Some(stage) && !report.order_in_progress => report,
            Ok(report) => {
                log::info!(target: "stages", target_id = engine.id.as_str(),
                    busy = report.order_in_progress;
                    "order not needed");
                return;
            }
            Err(detail) => {
                log::info!(target: "stages", target_id = engine.id.as_str(),
                    detail = detail.as_str(); "no report, no order");
                return;
            }
        };
        let holder = self.shared.settings.name.clone();
        // Offsets count from 0, and a fencing token of 0 could mean none.
        let order = StageOrder {
            stage,
            holder,
            fencing_token: plan_offset + 1,
            expected: report.accepted_orders,
        };
        let (path, body) = codec.encode_order(&order);
        let response = attempt::order(codec, engine, path, body, CALL_TIMEOUT).await;
        let result = match &response {
            Ok(StatusCode::ACCEPTED) => "accepted",
            Ok(StatusCode::OK) => "holds already",
            Ok(StatusCode::CONFLICT) => "another is under way",
            Ok(StatusCode::PRECONDITION_FAILED) => "superseded",
            Ok(_) => "refused",
            // It may be carried out now or later; `expected` guards against a late arrival.
            Err(_) => "unknown",
        };
        self.shared.metrics.order(result);
        log::info!(target: "stages", target_id = engine.id.as_str(), stage:? = stage,
            fence = order.fencing_token, expected = order.expected, went = result,
            answer:? = response;
            "order given");
    }

    async fn report(&self, engine: &Arc<Target>) -> Result<EngineReport, CompactString> {
        let codec = &*self.shared.codec;
        let path = codec.report_path();
        let (_, _, body) =
            attempt::call(codec, engine, Method::GET, path, Vec::new(), CALL_TIMEOUT).await?;
        codec.decode_report(&body).map_err(|error| compact_str::format_compact!("{error}"))
    }
}
