//! What edits add to lists and sets of a configuration and take from them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::ConfigFault;

/// The fault of an edit about something that is not there.
pub(crate) fn missing(what: &str, name: &str) -> ConfigFault {
    ConfigFault::Missing {
        what: what.to_owned(),
        name: name.to_owned(),
    }
}

/// The fault of an edit that adds what is there already.
pub(crate) fn present(what: &str, name: &str) -> ConfigFault {
    ConfigFault::Present {
        what: what.to_owned(),
        name: name.to_owned(),
    }
}

/// Puts a new entry under `name`, which must be free.
pub(crate) fn add_entry<T>(
    entries: &mut BTreeMap<String, T>,
    what: &str,
    name: &str,
    entry: T,
) -> Result<(), ConfigFault> {
    if entries.contains_key(name) {
        return Err(present(what, name));
    }
    entries.insert(name.to_owned(), entry);
    Ok(())
}

/// Takes the entry under `name` away, which must be there.
pub(crate) fn remove_entry<T>(
    entries: &mut BTreeMap<String, T>,
    what: &str,
    name: &str,
) -> Result<(), ConfigFault> {
    entries
        .remove(name)
        .map(|_| ())
        .ok_or_else(|| missing(what, name))
}

/// Adds to a set what must not be in it.
pub(crate) fn add_item<T: Ord>(
    items: &mut BTreeSet<T>,
    item: T,
    what: &str,
    name: &str,
) -> Result<(), ConfigFault> {
    if items.insert(item) {
        Ok(())
    } else {
        Err(present(what, name))
    }
}

/// Takes from a set what must be in it.
pub(crate) fn remove_item<T: Ord>(
    items: &mut BTreeSet<T>,
    item: &T,
    what: &str,
    name: &str,
) -> Result<(), ConfigFault> {
    if items.remove(item) {
        Ok(())
    } else {
        Err(missing(what, name))
    }
}
