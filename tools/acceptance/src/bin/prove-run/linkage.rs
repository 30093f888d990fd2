//! Checks how the program is linked and which functions it imports.

use std::collections::BTreeSet;
use std::path::Path;

use object::{Object, ObjectSymbol};
use violetgate_acceptance::{AcceptanceError, Result, Verdict};

/// Calls that the platform refuses, as names of C library functions.
const REFUSED_CALLS: [&str; 6] = [
    "splice",
    "sendfile",
    "sendfile64",
    "copy_file_range",
    "vmsplice",
    "tee",
];
const REFUSED_PREFIX: &str = "io_uring";
const C_LIBRARY: &[u8] = b"libc.so.6";

/// Checks in the program's file that it is linked dynamically against the C library and imports no
/// refused function.
pub fn check(program: &Path, verdict: &mut Verdict) -> Result<()> {
    let bytes = std::fs::read(program)?;
    let file = object::File::parse(&*bytes).map_err(AcceptanceError::ObjectFile)?;
    let has_interpreter = file.section_by_name(".interp").is_some();
    let needs_c_library = bytes
        .windows(C_LIBRARY.len())
        .any(|window| window == C_LIBRARY);
    let imports: BTreeSet<_> = file
        .dynamic_symbols()
        .filter(ObjectSymbol::is_undefined)
        .filter_map(|symbol| symbol.name().ok())
        .collect();
    let is_refused =
        |name: &&&str| REFUSED_CALLS.contains(*name) || name.starts_with(REFUSED_PREFIX);
    let refused: Vec<_> = imports.iter().filter(is_refused).collect();
    println!(
        "{}: {} imported symbols, of which the platform refuses {refused:?}",
        program.display(),
        imports.len()
    );
    let is_dynamic = has_interpreter && needs_c_library;
    verdict.exactly("dynamic", u64::from(is_dynamic), 1);
    verdict.exactly("refused_imports", refused.len() as u64, 0);
    Ok(())
}
