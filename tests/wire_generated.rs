//! The committed code of frames and gossip matches the `.proto` files.

use rstest::rstest;
use std::path::Path;

#[rstest]
#[case("mesh", "src/wire/generated.rs")]
#[case("gossip", "src/wire/generated_gossip.rs")]
fn generated_code_matches_its_source(#[case] name: &str, #[case] committed: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let committed = root.join(committed);
    let out = std::env::temp_dir().join(format!("poplarseam-proto-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&out).unwrap();
    let descriptors = protox::compile([format!("{name}.proto")], [root.join("proto")]).unwrap();
    prost_build::Config::new()
        .out_dir(&out)
        .compile_fds(descriptors)
        .unwrap();
    let regenerated = std::fs::read_to_string(out.join(format!("poplarseam.{name}.rs"))).unwrap();
    std::fs::remove_dir_all(&out).unwrap();
    if std::env::var_os("BLESS").is_some() {
        std::fs::write(&committed, &regenerated).unwrap();
    }
    let committed = std::fs::read_to_string(&committed).unwrap();
    assert!(
        regenerated == committed,
        "run `BLESS=1 cargo test --test wire_generated`"
    );
}
