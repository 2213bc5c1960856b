//! Helpers shared by the tests with real couriers.

use std::path::{Path, PathBuf};
use std::sync::OnceLock;

/// Path of the courier's binary, which is built on first use.
pub fn binary() -> &'static Path {
    static BINARY: OnceLock<PathBuf> = OnceLock::new();
    BINARY.get_or_init(|| {
        let build = escargot::CargoBuild::new().package("meadowhold-courier").bin("meadowhold");
        build.run().expect("the courier builds").path().to_path_buf()
    })
}
