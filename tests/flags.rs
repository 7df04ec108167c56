//! Settings of the processes are validated together at the start.

use gumdrop::Options;
use poplarseam::flags::{Flags, Settings, variable};
use rstest::rstest;
use std::process::Command;

const VALID_FLAGS: [&str; 16] = [
    "--instance",
    "i0",
    "--data-centre",
    "north-a",
    "--region",
    "north",
    "--mesh",
    "127.0.0.1:7000",
    "--operators",
    "127.0.0.1:9000",
    "--table",
    "127.0.0.1:6000",
    "--mesh-keys",
    "0123456789abcdef",
    "--operator-key",
    "0123456789abcdef",
];

fn check(extra: &[&str], environment: &[(&str, &str)]) -> Result<Settings, String> {
    let arguments: Vec<&str> = VALID_FLAGS.iter().chain(extra).copied().collect();
    let flags = Flags::parse_args_default(&arguments).map_err(|error| error.to_string())?;
    let environment = |name: &str| {
        let matching_variable = environment.iter().find(|(other, _)| *other == name);
        matching_variable.map(|(_, value)| (*value).to_owned())
    };
    Settings::check(&flags, &environment).map_err(|error| error.to_string())
}

#[test]
fn valid_settings_are_accepted() {
    let settings = check(&[], &[]).unwrap();
    assert_eq!(settings.max_requests, 1024);
    assert_eq!(settings.store_timeout.as_millis(), 1000);
}

#[test]
fn a_flag_overrides_the_environment() {
    let settings = check(
        &["--max-requests", "7"],
        &[
            ("POPLARSEAM_MAX_REQUESTS", "8"),
            ("POPLARSEAM_MAX_BODY", "9"),
        ],
    );
    let settings = settings.unwrap();
    assert_eq!((settings.max_requests, settings.max_body), (7, 9));
}

#[rstest]
#[case("--callers", "localhost:1", "write an IP number and a port")]
#[case("--peers", "127.0.0.1:1,x", "write an IP number and a port")]
#[case("--store-timeout", "1", "write a time above 0")]
#[case("--lease-term", "0s", "write a time above 0")]
#[case("--max-requests", "0", "write a whole number above 0")]
#[case("--log-level", "loud", "write error, warn, info or debug")]
#[case("--region", "a/b", "use 1 to 64 characters")]
fn an_invalid_setting_is_reported_with_its_remedy(
    #[case] flag: &str,
    #[case] value: &str,
    #[case] remedy: &str,
) {
    let name = variable(flag.trim_start_matches('-'));
    let error = check(&[flag, value], &[]).unwrap_err();
    for part in [flag, &name, value, remedy] {
        assert!(error.contains(part), "{part} in {error}");
    }
}

#[test]
fn an_invalid_key_is_not_printed() {
    let error = check(&["--mesh-keys", "secret"], &[]).unwrap_err();
    assert!(
        error.contains("at least 16") && !error.contains("secret"),
        "{error}"
    );
}

#[test]
fn all_missing_settings_are_reported_together() {
    let program = env!("CARGO_BIN_EXE_poplarseam-entry");
    let output = Command::new(program)
        .env_clear()
        .arg("--check")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2));
    for flag in [
        "instance",
        "data-centre",
        "region",
        "mesh",
        "operators",
        "mesh-keys",
        "table",
    ] {
        assert!(
            text.contains(&format!("--{flag} or {}", variable(flag))),
            "{flag} in {text}"
        );
    }
}

#[rstest]
#[case("--help", "--store-timeout", 0)]
#[case("--version", "poplarseam-entry 0.1.0", 0)]
#[case("--nonsense", "unrecognized option", 2)]
fn help_version_and_unknown_flags_are_answered(
    #[case] flag: &str,
    #[case] shown: &str,
    #[case] code: i32,
) {
    let program = env!("CARGO_BIN_EXE_poplarseam-entry");
    let output = Command::new(program).arg(flag).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains(shown), "{text}");
    assert_eq!(output.status.code(), Some(code));
}

#[test]
fn check_flag_validates_settings_and_exits() {
    let program = env!("CARGO_BIN_EXE_poplarseam-entry");
    let output = Command::new(program)
        .args(VALID_FLAGS)
        .arg("--check")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, b"settings are right\n");
}
