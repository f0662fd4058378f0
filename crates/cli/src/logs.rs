//! Logs: one line of key=value pairs per event, on standard error.

use logforth::append::Stderr;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::LogfmtLayout;

/// Starts logging; `RUST_LOG` sets the levels by module, and `default` applies if it is not set.
pub(crate) fn start(default: &str) {
    let filter = RustLogFilterBuilder::from_default_env_or(default);
    let append = Stderr::default().with_layout(LogfmtLayout::default());
    logforth::starter_log::builder().dispatch(|d| d.filter(filter.build()).append(append)).apply();
}
