//! The operators' page documents exactly the settings that the programs have.

use gumdrop::Options;
use poplarseam::flags::Flags;
use std::collections::BTreeSet;

const PAGE: &str = include_str!("../docs/OPERATING.md");

/// Returns the words of a text that start with exactly two dashes.
fn flags(text: &str) -> BTreeSet<String> {
    let words = text.split(|letter: char| !(letter.is_ascii_alphabetic() || letter == '-'));
    let flags =
        words.filter(|word| word.starts_with("--") && word.len() > 2 && !word.starts_with("---"));
    flags.map(str::to_owned).collect()
}

#[test]
fn the_settings_table_lists_exactly_the_flags() {
    let rows = PAGE.lines().filter(|line| line.starts_with("| `--"));
    let rows: Vec<&str> = rows.filter_map(|line| line.split('|').nth(1)).collect();
    assert_eq!(flags(&rows.join(" ")), flags(Flags::usage()));
}

#[test]
fn the_defaults_in_the_table_match_the_help_text() {
    for line in PAGE.lines().filter(|line| line.starts_with("| `--")) {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let flag = cells[1].trim_matches('`').trim_start_matches("--");
        let (unit, default) = (cells[2], cells[3]);
        if unit.is_empty() || default == "required" {
            continue;
        }
        let usage = Flags::usage();
        let start = usage
            .find(&format!("--{flag} "))
            .unwrap_or_else(|| panic!("{flag}"));
        let text = &usage[start
            ..usage[start + 2..]
                .find("  --")
                .map_or(usage.len(), |end| start + 2 + end)];
        assert!(
            text.contains(&format!("default {default}")),
            "--{flag}: {default} in {text}"
        );
    }
}
