//! Keys and secrets that stand in files of their own.

use std::{
    fs,
    path::Path, //
};

use crate::exit_status::ExitStatus;

/// The first line of the file at `path`, without blanks around it.
///
/// # Errors
///
/// [`ExitStatus::Unusable`], after the reason was printed.
pub(crate) fn read_secret(path: &Path) -> Result<String, ExitStatus> {
    let text = fs::read_to_string(path).map_err(|error| {
        eprintln!(
            "cannot read {}: {error}; give a file with the key",
            path.display()
        );
        ExitStatus::Unusable
    })?;
    let secret = text.lines().next().unwrap_or_default().trim();
    if secret.is_empty() {
        eprintln!(
            "{} has no key in its first line; write it there",
            path.display()
        );
        return Err(ExitStatus::Unusable);
    }
    Ok(secret.to_owned())
}
