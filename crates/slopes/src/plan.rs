//! Extrapolates the slopes to the planned size and compares control work with its limits.
//!
//! Control work is all work of a process that does not serve requests: heartbeats, the log and the
//! configuration. The work of requests is printed too, without a limit.

use crate::fit::Line;
use crate::table::Row;
use eyre::{Result, eyre};

/// The planned size, from the developers' page.
const ENTRIES: f64 = 390.0;
const TARGETS: f64 = 700.0;
const CALLERS: f64 = 4_500.0;
const REQUESTS_A_SECOND: f64 = 4_700.0;
const TOKENS_A_SECOND: f64 = 2_000_000.0;
const CHANGES_A_DAY: f64 = 1_500.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Limits for control work, from the plan.
const CORE_SHARE: f64 = 0.044;
const MEMORY_BYTES: f64 = 256e6;
const LINK_BYTES_A_SECOND: f64 = 7_000.0;

/// Agents to which an entry keeps connections, as `policy::subset` bounds them.
const CONNECTIONS: f64 = 48.0;

/// Interval in seconds at which an entry requests the statuses of entries from an agent.
const STATUS_INTERVAL: f64 = 5.0;

/// Factor by which Base64 in JSON enlarges a record.
const BASE64: f64 = 4.0 / 3.0;

/// Prints the table of extrapolated figures.
pub(crate) fn print(rows: &[Row]) -> Result<()> {
    let slopes = Slopes { rows };
    let agent_connections = ENTRIES * CONNECTIONS / TARGETS;
    println!("| Role | What | At the plan's size | Limit |");
    println!("|---|---|---|---|");
    slopes.print("entry", CONNECTIONS)?;
    slopes.print("agent", agent_connections)?;
    slopes.print_planner()?;
    slopes.print_requests("entry", ENTRIES)?;
    slopes.print_requests("agent", TARGETS)
}

struct Slopes<'a> {
    rows: &'a [Row],
}

impl Slopes<'_> {
    fn line(&self, role: &str, cost: &str, per: &str) -> Result<Line> {
        let mut rows = self.rows.iter();
        let row = rows.find(|row| row.role == role && row.cost == cost && row.per == per);
        let row = row.ok_or_else(|| eyre!("no row of {cost} a {per} at {role}"))?;
        Ok(Line::through(&row.points))
    }

    fn print(&self, role: &str, connections: f64) -> Result<()> {
        let process = self.line(role, "CPU a second, ns", "idle process with one connection")?;
        let connection = self.line(role, "CPU a second, ns", "idle connection")?;
        let single = "caller there is, for a change that comes alone";
        let change = self.line(role, "CPU, ns", single)?;
        let changes = CHANGES_A_DAY / SECONDS_A_DAY;
        let cpu = process.slope + connection.slope * (connections - 1.0);
        let cpu = cpu + (change.base + change.slope * CALLERS) * changes;
        line(role, "control, share of a core", &percent(cpu / 1e9), &percent(CORE_SHARE));
        let memory = self.resources("folded state, bytes")?;
        line(role, "folded configuration, MB", &megabytes(memory), &megabytes(MEMORY_BYTES));
        let bytes = self.link_bytes(connections)?;
        line(
            role,
            "heartbeats and log, bytes a second",
            &rounded(bytes),
            &rounded(LINK_BYTES_A_SECOND),
        );
        Ok(())
    }

    /// Prints the planner's bytes, which add to those of its agent. A round of the planner takes a
    /// fixed time per agent, so in a large pool its bytes per second do not grow.
    fn print_planner(&self) -> Result<()> {
        let bytes = self.line("planner", "links a second, bytes", "agent of its pool")?;
        let largest = bytes.base + bytes.slope * 48.0;
        line(
            "planner",
            "pings, bytes a second, besides its agent's",
            &rounded(largest),
            "7000 together",
        );
        Ok(())
    }

    /// Cost of all planned targets and callers.
    fn resources(&self, cost: &str) -> Result<f64> {
        let target = self.line("every process", cost, "target")?;
        let caller = self.line("every process", cost, "caller")?;
        Ok(target.slope * TARGETS + caller.slope * CALLERS + target.base + caller.base)
    }

    /// Bytes per second of control work: pings and pongs, statuses of entries, and the log.
    fn link_bytes(&self, connections: f64) -> Result<f64> {
        let idle = self.line("entry", "peer links a second, bytes", "idle connection")?;
        let status = self.line("agent", "pong, bytes", "sighting")?;
        let log = self.line("entry", "log a second, bytes", "idle process with one connection")?;
        let change = self.line("every process", "log, bytes", "change of configuration")?;
        let entries = ENTRIES * CONNECTIONS / TARGETS;
        let share = connections / CONNECTIONS;
        let statuses = status.slope * entries * share / STATUS_INTERVAL;
        let changes = change.slope * CHANGES_A_DAY / SECONDS_A_DAY;
        let checkpoints =
            self.resources("checkpoint, bytes")? * BASE64 * CHECKPOINTS_A_DAY / SECONDS_A_DAY;
        Ok(idle.base + idle.slope * connections + statuses + log.slope + changes + checkpoints)
    }

    fn print_requests(&self, role: &str, processes: f64) -> Result<()> {
        let request = self.line(role, "CPU, ns", "request of 1 token")?;
        let token = self.line(role, "CPU, ns", "token")?;
        let cpu = request.slope * REQUESTS_A_SECOND + token.slope * TOKENS_A_SECOND;
        let share = cpu / processes / 1e9;
        line(role, "requests, share of a core at the peak", &percent(share), "none set");
        Ok(())
    }
}

/// Checkpoints of the configuration per day, one every 15 minutes; every process reads them.
const CHECKPOINTS_A_DAY: f64 = 96.0;

fn line(role: &str, what: &str, value: &str, limit: &str) {
    println!("| {role} | {what} | {value} | {limit} |");
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

fn megabytes(bytes: f64) -> String {
    format!("{:.1}", bytes / 1e6)
}

fn rounded(value: f64) -> String {
    format!("{value:.0}")
}
