use ragwortroad_dispatch::prelude::*;

/// A report of the thread that owns the file of software versions.
#[derive(Debug)]
pub(crate) enum VersionReport {
    /// The file was read; `None` if there is none, or it is damaged.
    Loaded {
        content: Option<LedgerContent>,
        /// Whether there was a file at all.
        has_file: bool,
    },
    /// A write has ended.
    Written {
        /// Whether the content is durable.
        is_saved: bool,
    },
}
