//! One process of the fleet: supervisor, control thread, traffic threads.
