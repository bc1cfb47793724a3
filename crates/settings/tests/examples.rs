//! Settings files in the directory `examples`.

use std::path;

use toucanledge_settings::load_gateway;

/// Guards against an example file that a gateway refuses.
#[test]
fn examples_have_no_errors() {
    let examples = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for example in ["manualia", "kestrelmoor"] {
        let file = examples.join(example).join("gateway.jsonc");
        let settings = load_gateway(&file).expect(example);
        assert_eq!(settings.seeds.len(), 3, "{example}");
    }
}
