use std::fs;

/// Where Linux says which boot this is.
const BOOT_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// The operating system's name for the current boot of the machine, empty if it has none.
///
/// Without one, every restart of the process counts as one of the machine.
pub fn current_boot_id() -> String {
    let name = fs::read_to_string(BOOT_PATH).unwrap_or_default();
    name.trim().to_owned()
}
