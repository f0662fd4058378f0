//! Makes the tables of `docs/DECISIONS.md`: `cargo run --release -p policy --example decisions -- NAME`.

use policy::model::late;

fn main() -> std::process::ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    match name.as_str() {
        "late-binding" => println!("{}", late::compare(&late::Setup::default())),
        "late-binding-slots" => {
            let setup = late::Setup { targets: 14, slots: 16, ..late::Setup::default() };
            println!("{}", late::compare(&setup));
        }
        "late-binding-paper" => {
            let lengths = late::Lengths::Paper;
            println!("{}", late::compare(&late::Setup { lengths, ..late::Setup::default() }));
        }
        _ => {
            eprintln!("unknown table `{name}`");
            return std::process::ExitCode::FAILURE;
        }
    }
    std::process::ExitCode::SUCCESS
}
