//! The committed generated code is what the generator writes for the `.proto` files.

use std::path::Path;

#[test]
fn code_is_up_to_date() {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folder =
        std::env::temp_dir().join(format!("turmericrail-generated-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let files = protox::compile(["peer.proto", "relay.proto"], [manifest.join("proto")]).unwrap();
    tonic_prost_build::configure().out_dir(&folder).compile_fds(files).unwrap();
    for name in ["turmericrail.peer.rs", "turmericrail.relay.rs"] {
        let generated = std::fs::read_to_string(folder.join(name)).unwrap();
        let committed = std::fs::read_to_string(manifest.join("src/generated").join(name)).unwrap();
        assert!(generated == committed, "{name}: run the generate example and commit its output");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
