//! Carries a plan out: announces it, and orders the engines that it names.
//!
//! An entry that was frozen, or whose append was answered late, gives no orders: [`ORDERS_END`]
//! is measured on a clock that also counts suspended time, from before the append.

use super::Planner;
use crate::cluster::clock::since_boot;
use crate::cluster::tail::{RecordSpan, Topic};
use crate::codec::{EngineReport, StageOrder};
use crate::config::route::Stage;
use crate::exchange::broadcast;
use crate::exchange::entry_stream;
use crate::exchange::notice::{self, Kind, Plan};
use crate::targets::attempt;
use crate::targets::target::{STAGE_CHANGE_TIMEOUT, Target};
use compact_str::CompactString;
use http::{Method, StatusCode};
use plat::{Offset, Record};
use std::sync::Arc;
use std::time::Duration;

/// Engines, each with the stage that it is to have.
pub(super) type Changes = Vec<(Arc<Target>, Stage)>;

/// Between the announcement and the orders: two reads of the entries' stream.
pub(super) const ANNOUNCED: Duration = Duration::from_millis(2_200);

/// The same where the load can't wait: entries are told of the plan by datagram. One that misses it still
/// sends work to engines that change, which they refuse; it is sent elsewhere then.
pub(super) const TOLD: Duration = Duration::from_millis(400);

/// No orders are given later than this after the append began.
const ORDERS_END: Duration = Duration::from_millis(5_000);

/// How long an engine may take for a report or an order.
const PATIENCE: Duration = Duration::from_millis(600);

impl Planner {
    /// Appends the plan, and gives its orders after `announced`, when the other entries have read it.
    pub(super) async fn carry_out(&self, changes: Changes, announced: Duration) {
        let Some(end) = self.bulletin.borrow().end else { return };
        let of = |wanted: Stage| {
            let ids = changes.iter().filter(|(_, stage)| *stage == wanted);
            ids.map(|(target, _)| target.id.to_string()).collect()
        };
        let plan = Plan {
            planner: self.shared.settings.name.to_string(),
            to_prefill: of(Stage::Prefill),
            to_decode: of(Stage::Decode),
            created_us: u64::try_from(self.shared.usage.clock.now().as_micros())
                .unwrap_or_default(),
        };
        let began = since_boot();
        let record = notice::encode(Kind::Plan(plan.clone()));
        let fence = match self.log.append_at(entry_stream::STREAM, end, record.clone()).await {
            Ok(offset) => offset,
            Err(error) => {
                // Moved: somebody wrote meanwhile, perhaps only that it lives. What it wrote is read
                // at once, and if no plan is among it the next look finds the same to be done.
                // Otherwise the plan may stand in the stream or not; either way no order is given
                // under it.
                self.shared.notices.notify_one();
                log::info!(target: "stages", error:% = error; "plan not made");
                return;
            }
        };
        entry_stream::expect_changes(&self.shared, &plan, STAGE_CHANGE_TIMEOUT);
        let (topic, before) = (Topic::Notices, self.shared.tail.change_end(Topic::Notices));
        let record = Record { offset: fence, key: CompactString::default(), value: Some(record) };
        broadcast::send(
            &self.shared,
            &RecordSpan { topic, start: before, log_degraded: false, records: vec![record] },
        );
        tokio::time::sleep(announced).await;
        let orders = changes.into_iter().map(|(target, stage)| async move {
            if since_boot().saturating_sub(began) > ORDERS_END {
                log::warn!(target: "stages", target_id = target.id.as_str(), fence;
                    "order not given: the plan is too old");
                return;
            }
            self.order(&target, stage, fence).await;
        });
        futures_util::future::join_all(orders).await;
    }

    /// Orders one engine to change, if it still has to.
    async fn order(&self, engine: &Arc<Target>, stage: Stage, fence: Offset) {
        let codec = &*self.shared.codec;
        let report = match self.report(engine).await {
            Ok(report)
                if report.incarnation.is_some() && report.incarnation != engine.incarnation =>
            {
                // It started again: what the plan knew of it is gone.
                log::info!(target: "stages", target_id = engine.id.as_str(), born:? = report.incarnation;
                    "order not given: the engine started again");
                return;
            }
            Ok(report) if report.stage != Some(stage) && !report.order_in_progress => report,
            Ok(report) => {
                log::info!(target: "stages", target_id = engine.id.as_str(), busy = report.order_in_progress;
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
        // Offsets count from 0, and a fence of 0 could mean none.
        let order = StageOrder {
            stage,
            holder,
            fencing_token: fence + 1,
            expected: report.accepted_orders,
        };
        let (path, body) = codec.encode_order(&order);
        let answer = attempt::order(codec, engine, path, body, PATIENCE).await;
        let went = match &answer {
            Ok(StatusCode::ACCEPTED) => "accepted",
            Ok(StatusCode::OK) => "holds already",
            Ok(StatusCode::CONFLICT) => "another is under way",
            Ok(StatusCode::PRECONDITION_FAILED) => "superseded",
            Ok(_) => "refused",
            // It may be carried out, now or later; `expected` guards against it coming late.
            Err(_) => "unknown",
        };
        self.shared.metrics.order(went);
        log::info!(target: "stages", target_id = engine.id.as_str(), stage:? = stage,
            fence = order.fencing_token, expected = order.expected, went, answer:? = answer;
            "order given");
    }

    async fn report(&self, engine: &Arc<Target>) -> Result<EngineReport, CompactString> {
        let codec = &*self.shared.codec;
        let path = codec.report_path();
        let (_, _, body) =
            attempt::call(codec, engine, Method::GET, path, Vec::new(), PATIENCE).await?;
        codec.decode_report(&body).map_err(|error| compact_str::format_compact!("{error}"))
    }
}
