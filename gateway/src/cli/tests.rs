//! Tests that the definition of the command line is consistent.

use super::*;

#[test]
fn command_line_is_well_formed_and_serve_is_the_default() {
    Cli::command().debug_assert();
    for args in [
        &["violetgate"][..],
        &["violetgate", "serve", "--settings", "x.hcl"],
    ] {
        assert!(Cli::try_parse_from(args).is_ok(), "{args:?}");
    }
    assert!(Cli::try_parse_from(["violetgate", "sreve"]).is_err());
}
