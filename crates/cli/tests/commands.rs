//! The command line as a real process: help, errors and exit codes.

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, Command, Output, Stdio};

fn lapismast(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lapismast"));
    command.env_remove("LAPISMAST_ADMIN").env_remove("LAPISMAST_TOKEN");
    command.args(args).output().expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn help_teaches() {
    let pages = [&["--help"][..], &["entry", "--help"], &["apply", "--help"], &["fake", "--help"]];
    let output = pages
        .map(|args| format!("$ lapismast {}\n{}", args.join(" "), text(&lapismast(args).stdout)));
    insta::assert_snapshot!(output.join("\n"));
}

#[test]
fn the_examples_are_valid_and_for_a_typo_the_nearest_name_is_suggested() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let files = [
        ("resources", "resources"),
        ("entry", "entry"),
        ("agent", "agent-engine"),
        ("agent", "agent-service"),
    ];
    for (kind, file) in files {
        let file = format!("{root}/examples/{file}.yaml");
        let checked = lapismast(&["check", "--as", kind, &file]);
        assert!(checked.status.success(), "{}", text(&checked.stderr));
    }
    let wrong = std::env::temp_dir().join(format!("lapismast-{}.yaml", std::process::id()));
    let mut file = std::fs::File::create(&wrong).expect("the temporary folder can be written");
    file.write_all(b"kind: Caller\nname: a\nspec:\n  wieght: 2\n")
        .expect("the file can be written");
    let checked = lapismast(&["check", &wrong.to_string_lossy()]);
    std::fs::remove_file(&wrong).expect("the file is there");
    assert_eq!(checked.status.code(), Some(1));
    let error = text(&checked.stderr);
    assert!(
        error.contains("line 4, spec.wieght") && error.contains("did you mean `weight`?"),
        "{error}"
    );
}

#[test]
fn settings_are_shown_with_their_defaults_and_without_the_key() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/agent-engine.yaml");
    let printed = lapismast(&["settings", "--print", "--as", "agent", file]);
    insta::assert_snapshot!(text(&printed.stdout));
}

#[test]
fn wrong_command_lines_and_unreachable_entries_have_different_exit_codes() {
    let codes = [
        lapismast(&["aply"]).status.code(),
        lapismast(&["get", "Targte", "--admin", "127.0.0.1:1"]).status.code(),
        lapismast(&["get", "Target", "--admin", "127.0.0.1:1"]).status.code(),
    ];
    assert_eq!(codes, [Some(2), Some(1), Some(1)]);
}

/// A stand-in process, killed at the end of the test, with the address that its first line prints.
struct Process {
    child: Child,
    address: String,
}

impl Process {
    fn fake(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lapismast"))
            .arg("fake")
            .args(args)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("the pipe was requested above");
        BufReader::new(stdout).read_line(&mut line).expect("it prints its address");
        let address = line.rsplit("http://").next().unwrap_or_default().trim().to_owned();
        Self { child, address }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().expect("the child has not been waited for");
        self.child.wait().expect("it is a child of this process");
    }
}

fn free_port() -> u16 {
    let socket = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback can be bound");
    socket.local_addr().expect("the socket is bound").port()
}

// Guards against operators' tokens and the fleet's key in the logs, from where they would get into
// tickets. An entry runs as its own process, and a valid and a wrong token are used.
#[test]
fn an_entry_applies_operators_changes_and_logs_no_secret() {
    let log = Process::fake(&["log"]);
    let (callers, admin) = (free_port(), free_port());
    let digest = "c91cbbedf8c712e8e2b7517ddeca8fe4fde839ebd8339e0b2001363002b37712";
    let settings = format!(
        "callers: 127.0.0.1:{callers}\nadmin: 127.0.0.1:{admin}\npeer_key: the-fleets-key\n\
         admin_token_sha256: {digest}\nplatform: {{log: '{}'}}\n",
        log.address
    );
    let file = std::env::temp_dir().join(format!("lapismast-entry-{}.yaml", std::process::id()));
    std::fs::write(&file, settings).expect("the file can be written");
    let mut entry = Command::new(env!("CARGO_BIN_EXE_lapismast"))
        .args(["entry", "--settings", &file.to_string_lossy()])
        .env("RUST_LOG", "trace")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let admin = format!("127.0.0.1:{admin}");
    let resources = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/resources.yaml");
    let apply = |token: &str| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lapismast"));
        command.args(["apply", "-f", resources, "--admin", &admin, "--operator", "ana"]);
        command.env("LAPISMAST_TOKEN", token).output().expect("the program starts")
    };
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    let mut first = apply("dev-token");
    while !first.status.success() && std::time::Instant::now() < deadline {
        std::thread::sleep(std::time::Duration::from_millis(50));
        first = apply("dev-token");
    }
    let again = apply("dev-token");
    let refused = apply("wrong-token");
    let stopped = Command::new("kill").args(["-TERM", &entry.id().to_string()]).status();
    assert!(stopped.expect("kill can be run").success());
    let status = entry.wait().expect("it is a child of this process");
    let mut logs = String::new();
    let stderr = entry.stderr.take().expect("the pipe was requested above");
    std::io::Read::read_to_string(&mut BufReader::new(stderr), &mut logs).expect("logs are text");
    std::fs::remove_file(&file).expect("the file is there");
    assert!(first.status.success(), "{}", text(&first.stderr));
    let lines = text(&again.stdout);
    assert!(
        lines.lines().count() == 5 && lines.lines().all(|l| l.ends_with("unchanged")),
        "{lines}"
    );
    assert_eq!(refused.status.code(), Some(1));
    assert_eq!(status.code(), Some(0));
    assert!(logs.contains("resource-applied"), "{logs}");
    for secret in ["dev-token", "wrong-token", "the-fleets-key", digest] {
        assert!(!logs.contains(secret), "a log line contains `{secret}`");
    }
}
