//! The platform's header and field names occur only in `src/platform`.

use std::fs;
use std::path::{Path, PathBuf};

/// Names that the callers' interface in `src/node` uses too; they are allowed there and in
/// `src/command.rs`.
const SHARED_WITH_NODE: [&str; 2] = ["X-Deadline-Ms", "X-Request-Id"];

const PLATFORM_NAMES: [&str; 20] = [
    "X-Expected-Instance",
    "X-Model-Name",
    "X-Token-Usage",
    "X-Prompt-Prefix",
    "X-Not-Executed",
    "X-Response-Signature",
    "X-Request-Priority",
    "X-Instance-Load",
    "PathPrefix",
    "MaxAttempts",
    "TimeoutMs",
    "TargetLatencyMs",
    "FencingToken",
    "WeightsMb",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "/v1/order",
    "/v1/report",
    "/v1/readyz",
];

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let nested = entries.map(|path| {
        if path.is_dir() {
            sources(&path)
        } else {
            vec![path]
        }
    });
    nested.flatten().collect()
}

#[test]
fn platform_names_occur_only_in_src_platform() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for path in sources(&root) {
        if path.starts_with(root.join("platform")) {
            continue;
        }
        let text = fs::read_to_string(&path).unwrap().to_lowercase();
        let is_node_code = path.starts_with(root.join("node")) || path.ends_with("src/command.rs");
        let shared = SHARED_WITH_NODE.iter().filter(|_| !is_node_code);
        for name in PLATFORM_NAMES.iter().chain(shared) {
            let found = text.contains(&name.to_lowercase());
            assert!(!found, "{} names {name}", path.display());
        }
    }
}
