use std::fs;

/// The file in which Linux reports the ID of the current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// Returns the operating system's ID of the current boot, or an empty string if there is none.
///
/// Without an ID every restart of the process counts as a restart of the machine.
pub fn current_boot_id() -> String {
    let name = fs::read_to_string(BOOT_ID_PATH).unwrap_or_default();
    name.trim().to_owned()
}
