//! Settings of one process: INI, checked as a whole.
