//! A line through measured costs.
