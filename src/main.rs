//! The `ragwortroad` command.

fn main() {}
