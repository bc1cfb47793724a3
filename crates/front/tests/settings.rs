//! Guards against invalid settings that are accepted.

use toucanledge_front::FrontSettings;

const SETTINGS_TEXT: &str = r#"// Settings of a test.
{
  "name": "front-1", "failure_domain": "a",
  "listen": "127.0.0.1:8080", "ready_listen": "127.0.0.1:8081",
  "status_listen": "127.0.0.1:8082", "peer_port": 7000,
  "seeds": ["127.0.0.2:8082"], "platform": "127.0.0.9:8500",
  "retry_ratio": 0.2, "retry_slack": 58, "log": "info"
}"#;

#[test]
fn seeds_receive_gossip_at_the_peer_port() -> Result<(), Box<dyn std::error::Error>> {
    let settings: FrontSettings = toucanledge_settings::parse("front.jsonc", SETTINGS_TEXT)
        .map_err(|report| report.to_string())?;
    let peers: Vec<String> = settings
        .seed_addresses()
        .map(|peer| peer.to_string())
        .collect();
    assert_eq!(peers, ["127.0.0.2:7000"]);
    assert_eq!(settings.peer_listen().to_string(), "127.0.0.1:7000");
    Ok(())
}

#[test]
fn an_unknown_field_is_named_with_its_line() {
    let text = SETTINGS_TEXT.replace("\"log\"", "\"logs\"");
    let parsed = toucanledge_settings::parse::<FrontSettings>("front.jsonc", &text);
    let error = parsed
        .err()
        .map(|report| format!("{report:?}"))
        .unwrap_or_default();
    assert!(
        error.contains("front.jsonc:7") && error.contains("logs"),
        "the error does not name line 7 and the field: {error}"
    );
}

/// Deployments whose settings name no floor still have one.
#[test]
fn the_floor_share_has_a_default() -> Result<(), Box<dyn std::error::Error>> {
    let settings: FrontSettings = toucanledge_settings::parse("front.jsonc", SETTINGS_TEXT)
        .map_err(|report| report.to_string())?;
    assert!((settings.floor_share - 0.7).abs() < f64::EPSILON);
    Ok(())
}

/// With a floor that no pool can reach, all requests would go to idle servers.
#[test]
fn a_floor_share_above_one_is_refused_with_its_line() {
    let text = SETTINGS_TEXT.replace("\"log\"", "\"floor_share\": 7, \"log\"");
    let parsed = toucanledge_settings::parse::<FrontSettings>("front.jsonc", &text);
    let error = parsed
        .err()
        .map(|report| format!("{report:?}"))
        .unwrap_or_default();
    assert!(
        error.contains("front.jsonc:7") && error.contains("share from 0 to 1"),
        "the error does not name line 7 and the valid range: {error}"
    );
}
