//! Stand-ins and cases of the second review. Prints what it saw; the exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run.
//!
//! Usage: harness-2 CASE RECORD TROUBLE, in the root of the repository. With 0 for TROUBLE there is no
//! disruption.

mod billing;
mod callers;
mod engine;
mod entry;
mod history;
mod http;
mod poison;
mod service;
mod store;
mod versions;

use entry::Record;
use history::Before;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;

/// Ends the run: the case couldn't be played. The processes that were started end with it.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case couldn't run: {why}");
    std::panic::resume_unwind(Box::new(()));
}

/// A new folder for settings and logs.
pub fn folder() -> PathBuf {
    let name = format!("lapismast-review-{}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, trouble] = &arguments[..] else {
        eprintln!("usage: harness-2 CASE RECORD TROUBLE");
        exit(2);
    };
    let trouble = trouble != "0";
    let record = Arc::new(Record::create(&PathBuf::from(record)));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "billing" => billing::run(&record, trouble),
        "history" => history::run(&record, Before::Deletion, trouble),
        "restart" => history::run(&record, Before::Restart, trouble),
        "poison" => poison::run(&record, trouble),
        "versions" => versions::run(&record, trouble),
        _ => cannot_run("no such case"),
    });
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(folder());
    }
    exit(played.map_or(2, i32::from));
}
