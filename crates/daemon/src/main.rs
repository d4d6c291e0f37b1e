//! The daemon of dandelionroad.

fn main() {}
