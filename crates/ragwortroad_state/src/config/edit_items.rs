//! Helpers that add entries to the maps and sets of a configuration and remove them.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use crate::ConfigFault;

/// Returns the fault of an edit that refers to an entry that does not exist.
pub(crate) fn missing(what: &str, name: &str) -> ConfigFault {
    ConfigFault::Missing {
        what: what.to_owned(),
        name: name.to_owned(),
    }
}

/// Returns the fault of an edit that adds an entry that already exists.
pub(crate) fn present(what: &str, name: &str) -> ConfigFault {
    ConfigFault::Present {
        what: what.to_owned(),
        name: name.to_owned(),
    }
}

/// Inserts an entry; `name` must not be taken.
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

/// Removes an entry, which must exist.
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

/// Inserts an item, which must not be in the set.
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

/// Removes an item, which must be in the set.
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
