//! Errors of wrong settings and resource files, and that no input makes the parsers panic.

use conf::{check, settings};

fn error_of(text: &str) -> String {
    check::resources(text).expect_err("the file is wrong").to_string()
}

#[test]
fn errors_name_line_path_and_the_nearest_valid_name() {
    let second = "# callers\nkind: Caller\nname: desk\nspec: {weight: 2}\n---\nkind: Target\nname: e-1\nspec:\n";
    let cases = [
        "kind: Modell\nname: m\nspec: {}\n".to_owned(),
        format!("{second}  domain: d\n  agent: 10.0.0.1:7001\n  modles: [m]\n"),
        format!("{second}  domain: d d\n  agent: 10.0.0.1:7001\n  models: [m]\n"),
        format!("{second}  domain: d\n  agent: 10.0.0.1:7001\n  models: [m]\n  role: prefil\n"),
        format!("{second}  domain: d\n  agent: 10.0.0.1:7001\n  models: [m]\n  slots: many\n"),
        "kind: Caller\nname: desk\nspec: {weight: 0}\n".to_owned(),
        "kind: Caller\nspec: {}\n".to_owned(),
        "kind: Caller\nname: [\n".to_owned(),
    ];
    let errors: Vec<String> = cases.iter().map(|text| error_of(text)).collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn documents_are_read_whatever_separates_them() {
    let text = "---\n# nothing\n---\nkind: Model\nname: a\nspec: {}\n--- # b\nkind: Model\nname: b\nspec: {}\n---\n";
    let all = check::resources(text).expect("the file is valid");
    assert_eq!(all.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!(all, conf::Resource::parse_all(text).expect("the file is valid"));
}

// Settings of a trial on one machine are copied to a VM without setting a key. A process that
// started like this would let anyone in the network run requests past all limits.
#[test]
fn a_process_that_other_machines_can_reach_needs_a_key_and_operators_a_token() {
    let digest = "0".repeat(64);
    let results = [
        "callers: 10.0.0.1:8080\n".to_owned(),
        "admin: 10.0.0.1:8081\npeer_key: k\n".to_owned(),
        "admin: 10.0.0.1:8081\npeer_key: k\nadmin_token_sha256: ABC\n".to_owned(),
        format!("admin: 10.0.0.1:8081\ncallers: 10.0.0.1:8080\npeer_key: k\nadmin_token_sha256: '{digest}'\n"),
        "callers: entry.example:8080\n".to_owned(),
        "peers: ['10.0.0.1']\n".to_owned(),
        "peer_kye: x\n".to_owned(),
        String::new(),
    ]
    .map(|text| match settings::Entry::parse(&text) {
        Ok(_) => "ok".to_owned(),
        Err(error) => error.to_string(),
    });
    insta::assert_snapshot!(results.join("\n"));
    assert!(settings::Agent::parse("peers_listen: 10.0.0.1:7001\n").is_err());
    assert!(settings::Agent::parse("peers_listen: 10.0.0.1:7001\npeer_key: k\n").is_ok());
}

#[test]
fn arbitrary_bytes_are_read_as_settings_and_resources_without_a_panic() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes);
        // Any result is accepted; only a panic fails the test.
        let _ = check::resources(&text);
        let _ = settings::Entry::parse(&text);
        let _ = settings::Agent::parse(&text);
    });
}

#[test]
fn files_that_are_nearly_right_are_read_without_a_panic() {
    let fragments = [
        "kind: ",
        "Target",
        "Caller",
        "Policy",
        "\n",
        "---\n",
        "name: a\n",
        "spec:\n",
        "  ",
        "domain: d\n",
        "agent: ",
        "10.0.0.1:1\n",
        "models: [m]\n",
        "- ",
        "{",
        "}",
        "[",
        "]",
        "&a ",
        "*a ",
        "? ",
        ": ",
        "!!int ",
        "'",
        "\"",
        "|\n",
        "weight: ",
        "-1",
        "1e400",
        "\u{fe0f}",
        "deadline_ms: 18446744073709551616\n",
        "horizon_ms: ",
        "null",
        "<<: *a\n",
        "#",
        "\t",
    ];
    bolero::check!().with_type::<Vec<u8>>().for_each(|picks| {
        let text: String =
            picks.iter().map(|pick| fragments[usize::from(*pick) % fragments.len()]).collect();
        let _ = check::resources(&text);
        let _ = settings::Agent::parse(&text);
    });
}
