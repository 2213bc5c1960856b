//! What the tests with real couriers share.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// The courier's program, built for the tests.
pub fn binary() -> &'static Path {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let build = escargot::CargoBuild::new().package("meadowhold-courier").bin("meadowhold");
        build.run().expect("the courier builds").path().to_path_buf()
    })
}
