//! Placeholder that a later commit of this change replaces.
