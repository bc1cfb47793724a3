//! Settings of a gateway.

use std::env;
use std::fs;
use std::process;

use toucanledge_settings::{DispatchPolicy, GatewaySettings, load_gateway, parse};

const MINIMAL_SETTINGS: &str = r#"{
  "vm": 7,
  "name": "gw-07",
  "failure_domain": 1,
  "listen": "127.2.0.7:8080",
  "peer_listen": "127.2.0.7:7000",
  "status_listen": "127.2.0.7:9000",
  "platform": ["127.2.9.1:8500"]
}"#;

fn parse_settings(text: &str) -> GatewaySettings {
    parse("gateway.jsonc", text).expect("the text matches the type")
}

/// Guards against a default that differs from the documented one.
#[test]
fn defaults_are_the_documented_ones() {
    let settings = parse_settings(MINIMAL_SETTINGS);
    assert_eq!(settings.check(), []);
    assert_eq!(settings.caller_header, "x-caller");
    assert_eq!(settings.policy, DispatchPolicy::Toucanledge);
    assert_eq!(settings.max_header_bytes, 65_536);
    assert_eq!(settings.max_body_bytes, 8_388_608);
    assert_eq!(settings.max_requests, 4096);
    assert_eq!(settings.log, "info");
    assert_eq!(settings.peer_address(), settings.peer_listen);
    assert!(settings.seeds.is_empty() && settings.peer_source.is_none());
}

/// Guards against a check that stops at the first error or names the wrong line.
#[test]
fn every_bad_value_is_reported_with_its_line() {
    let text = r#"{
  "vm": 7,
  "name": "gw 07", // a blank is not allowed
  "failure_domain": 1,
  "listen": "127.2.0.7:8080",
  "peer_listen": "0.0.0.0:7000",
  "peer_source": "::1",
  "status_listen": "127.2.0.7:8080",
  "platform": [],
  "seeds": ["127.2.0.8:7000", "127.2.0.8:7000", "127.2.0.9:0"],
  "caller_header": "X-Caller",
  "policy": "baseline",
  "max_header_bytes": 1,
  "max_body_bytes": 0,
  "max_requests": 0,
  "log": " "
}"#;
    let directory = env::temp_dir().join(format!("toucanledge-settings-{}", process::id()));
    fs::create_dir_all(&directory).expect("the directory can be created");
    let file = directory.join("gateway.jsonc");
    fs::write(&file, text).expect("the file can be written");
    let report = load_gateway(&file).expect_err("the values are out of range");
    fs::remove_dir_all(&directory).expect("the directory can be removed");
    let prefix = format!("{}:", file.display());
    insta::assert_snapshot!(
        report
            .current_context()
            .to_string()
            .replace(&prefix, "FILE:")
    );
}

/// Guards against a mistyped key or policy that is silently ignored.
#[test]
fn unknown_keys_and_policies_are_refused() {
    for (old, new) in [
        ("\"vm\": 7", "\"vm\": 7, \"sedes\": []"),
        ("\"vm\": 7", "\"vm\": 7, \"policy\": \"none\""),
        ("\"vm\": 7", "\"vm\": -7"),
        ("\"failure_domain\": 1", "\"failure_domain\": 65536"),
        ("127.2.0.7:8080", "localhost"),
    ] {
        let text = MINIMAL_SETTINGS.replace(old, new);
        let result = parse::<GatewaySettings>("gateway.jsonc", &text);
        assert!(result.is_err(), "expected an error for {new}");
    }
}

/// Guards against port 0 being refused, with which tests let the system choose a port.
#[test]
fn listeners_may_let_the_system_choose_the_port() {
    let text = MINIMAL_SETTINGS
        .replace("127.2.0.7:8080", "127.0.0.1:0")
        .replace("127.2.0.7:7000", "127.0.0.1:0")
        .replace("127.2.0.7:9000", "127.0.0.1:0");
    assert_eq!(parse_settings(&text).check(), []);
}
