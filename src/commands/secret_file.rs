//! Files that contain one key or secret.

use std::{
    fs,
    path::Path, //
};

use crate::exit_status::ExitStatus;

/// Reads the first line of the file at `path`, without leading and trailing whitespace.
///
/// # Errors
///
/// [`ExitStatus::Unusable`] if the file cannot be read or its first line is empty; the reason has
/// been printed.
pub(crate) fn read_secret(path: &Path) -> Result<String, ExitStatus> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!(
            "failed to read {}: {error}; give a file that contains the key",
            path.display()
        );
        ExitStatus::Unusable
    })?;
    let secret = text.lines().next().unwrap_or_default().trim();
    if secret.is_empty() {
        eprintln!(
            "{} has no key in its first line; write the key there",
            path.display()
        );
        return Err(ExitStatus::Unusable);
    }
    Ok(secret.to_owned())
}
