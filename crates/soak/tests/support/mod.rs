//! What several tests of real processes need.

use soak::layout::Layout;
use soak::start::Starter;
use std::path::Path;

/// Starts processes of this test's own executable.
pub fn starter(layout: Layout, folder: &Path) -> Starter<'_> {
    Starter { executable: Path::new(env!("CARGO_BIN_EXE_soak")), layout, folder }
}
