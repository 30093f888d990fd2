//! Checks the small files that the processes of one gateway share in `$TMPDIR`. Processes of
//! different versions must agree on them.

use rustix::fs::FlockOperation;

use crate::support::{wait_until, GatewayProcess};

/// The file of cordons is read at the start, and its format matches the recorded file byte for
/// byte.
#[test]
fn cordon_file_is_read_and_written_as_before() {
    let fixture = include_bytes!("../fixtures/cordons.json");
    let mut gateway = GatewayProcess::start(2, "", 12.0);
    let path = gateway
        .folder
        .join(format!("violetgate-{}.cordons", gateway.listen));
    assert!(!path.exists());
    gateway.child.kill().unwrap();
    gateway.child.wait().unwrap();
    std::fs::write(&path, fixture).unwrap();
    gateway.restart();
    gateway.wait_until_healthy();
    let cordon = |call: &str, host: &str| {
        let body = format!("{{\"host\":\"{host}\"}}");
        assert_eq!(gateway.call("PUT", call, &body).0, 200, "{call} {host}");
        std::fs::read_to_string(&path).unwrap()
    };
    assert_eq!(cordon("/admin/cordon", "e-2"), r#"["e-2","s-1","s-2"]"#);
    assert_eq!(
        cordon("/admin/cordon", "e-1"),
        r#"["e-1","e-2","s-1","s-2"]"#
    );
    cordon("/admin/uncordon", "e-1");
    assert_eq!(cordon("/admin/uncordon", "e-2").as_bytes(), fixture);
    let mut names: Vec<_> = std::fs::read_dir(&gateway.folder)
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .map(|name| name.replace(&gateway.listen, "LISTEN"))
        .collect();
    names.sort();
    let shared = [
        "config.json",
        "log",
        "violetgate-LISTEN.cordons",
        "violetgate-LISTEN.cordons.lock",
        "violetgate-LISTEN.lock",
        "violetgate.hcl",
    ];
    assert_eq!(names, shared);
}

/// A running process holds a shared lock on an empty file. The gateway notices when another process
/// takes and releases such a lock.
#[test]
fn mark_of_a_running_process_is_understood_as_before() {
    let gateway = GatewayProcess::start(1, "", 12.0);
    let path = gateway
        .folder
        .join(format!("violetgate-{}.lock", gateway.listen));
    assert_eq!(
        std::fs::read(&path).unwrap(),
        include_bytes!("../fixtures/process_mark")
    );
    let log = || std::fs::read_to_string(gateway.folder.join("log")).unwrap();
    let mark = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .open(&path)
        .unwrap();
    rustix::fs::fcntl_lock(&mark, FlockOperation::NonBlockingLockShared).unwrap();
    let exclusive = rustix::fs::fcntl_lock(&mark, FlockOperation::NonBlockingLockExclusive);
    assert!(exclusive.is_err(), "the gateway holds no lock on its mark");
    wait_until("the gateway notices the other process", || {
        log().contains("violetgate is joined by another process: at most ")
    });
    drop(mark);
    wait_until("the gateway notices the end of the other process", || {
        log().contains("violetgate is alone: at most ")
    });
}
