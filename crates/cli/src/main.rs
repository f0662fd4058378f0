//! The `lapismast` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(std::env::args_os())
}
