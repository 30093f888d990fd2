//! The files that the processes of one gateway share, in `$TMPDIR`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::log;
use crate::sibling_process::ProcessMark;

/// A shared file of the gateway that listens at an address; gateways of other addresses may share
/// the folder. `None`: `$TMPDIR` is not set.
fn shared_file(listen: &SocketAddr, extension: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("violetgate-{listen}.{extension}")))
}

/// The path of the cordon file.
pub(super) fn cordon_path(listen: &SocketAddr) -> Option<PathBuf> {
    shared_file(listen, "cordons")
}

/// Takes this process's mark. Without one, the process assumes that it is alone.
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
