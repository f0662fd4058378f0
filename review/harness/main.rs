//! Plays a case against the project's entries: `harness CASE PROGRAM RECORD`.

mod engine;
mod length;
mod lists;
mod net;
mod plain;
mod refused;
mod rolling;
mod store;
mod world;

use std::path::Path;
use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = &arguments[..] else {
        eprintln!("harness CASE PROGRAM RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(world::Record::create(Path::new(record)));
    let program = Path::new(program);
    let code = match case.as_str() {
        "refused" => refused::run(program, &record, trouble),
        "length" => length::run(program, &record, trouble),
        "rolling" => rolling::run(program, &record, trouble),
        "lists" => lists::run(program, &record, trouble),
        _ => 2,
    };
    std::process::exit(code);
}
