//! The deploy file names only programs that its build command builds, and the test days beside it
//! are well formed.

use std::collections::BTreeSet;
use std::path::Path;
use toml::Table;

fn read(path: &str) -> Table {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(path);
    let text = std::fs::read_to_string(&path).unwrap();
    text.parse()
        .unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the programs that the build command builds.
fn built_programs(deploy: &Table) -> BTreeSet<String> {
    let build = deploy["build"].as_str().unwrap();
    let words: Vec<&str> = build.split(' ').collect();
    assert!(words.starts_with(&["cargo", "build", "--release", "--locked"]));
    let pairs = words.windows(2).filter(|pair| pair[0] == "--bin");
    pairs.map(|pair| pair[1].to_owned()).collect()
}

#[test]
fn every_role_runs_a_program_that_the_build_makes() {
    let deploy = read("deploy/system.toml");
    let built = built_programs(&deploy);
    for (name, role) in deploy["roles"].as_table().unwrap() {
        let run = role["run"].as_str().unwrap();
        let program = run.split(' ').next().unwrap();
        let program = program.strip_prefix("target/release/").unwrap();
        assert!(built.contains(program), "{name} runs {program}");
        let source = format!("{}/src/bin/{program}.rs", env!("CARGO_MANIFEST_DIR"));
        assert!(Path::new(&source).exists(), "{source}");
    }
}

#[test]
fn one_role_serves_callers_on_every_instance() {
    let deploy = read("deploy/system.toml");
    let roles = deploy["roles"].as_table().unwrap().values();
    let serving_roles = roles.filter(|role| {
        let serves = role["serves"].as_array().unwrap();
        serves.iter().any(|entry| entry.as_str() == Some("edge"))
    });
    let shares: Vec<Option<f64>> = serving_roles.map(|role| role["share"].as_float()).collect();
    assert_eq!(shares, [Some(1.0)]);
}

#[test]
fn the_program_of_the_deploy_file_starts_and_checks_its_settings() {
    let check_result = std::process::Command::new(env!("CARGO_BIN_EXE_poplarseam-gateway"))
        .arg("--check")
        .env_remove("POPLARSEAM_SETTINGS")
        .output()
        .unwrap();
    assert_eq!(check_result.status.code(), Some(2));
    let text = String::from_utf8_lossy(&check_result.stderr);
    assert!(text.contains("POPLARSEAM_SETTINGS"), "{text}");
}

#[test]
fn every_test_day_is_named_after_its_file_and_has_disruptions() {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/days");
    for entry in std::fs::read_dir(days).unwrap() {
        let path = entry.unwrap().path();
        let stem = path.file_stem().unwrap().to_str().unwrap();
        let day = read(&format!("deploy/days/{stem}.toml"));
        assert_eq!(day["name"].as_str(), Some(stem));
        let entries = ["plan", "faults"]
            .into_iter()
            .filter_map(|key| day.get(key));
        let count: usize = entries
            .map(|disruptions| disruptions.as_array().unwrap().len())
            .sum();
        assert!(count > 0, "{stem} has no disruption");
    }
}
