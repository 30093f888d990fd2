//! Locates the files in `$TMPDIR` that the processes of one gateway share.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::log;
use crate::sibling_process::ProcessMark;

/// Returns the path of a shared file. Its name contains the gateway's address, because gateways
/// with other addresses may use the same folder. Returns `None` if `$TMPDIR` is not set.
fn shared_file(listen: &SocketAddr, extension: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("violetgate-{listen}.{extension}")))
}

/// Returns the path of the file in which cordoned engines are stored.
pub(super) fn cordon_path(listen: &SocketAddr) -> Option<PathBuf> {
    shared_file(listen, "cordons")
}

/// Acquires the mark by which the processes of this gateway detect each other. If that fails, this
/// is logged and the process assumes that no other one runs.
pub(super) fn process_mark(listen: &SocketAddr) -> ProcessMark {
    let mark = match shared_file(listen, "lock") {
        Some(path) => {
            ProcessMark::acquire(&path).map_err(|error| format!("{}: {error}", path.display()))
        }
        None => Err("TMPDIR is not set".to_owned()),
    };
    mark.unwrap_or_else(|reason| {
        log::write_line(format_args!(
            "violetgate can't look for another process, and assumes that there is none: {reason}"
        ));
        ProcessMark::without_file()
    })
}
