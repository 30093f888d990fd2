//! Tests of the cordon file: two processes that share it, and a folder that is missing.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use super::*;

fn names(names: &[&str]) -> EngineNames {
    names.iter().map(|n| (*n).to_owned()).collect()
}

/// Two processes that change the file preserve each other's changes. Reading a corrupt file is an
/// error, and the next change replaces its content with the names that the process knows.
#[test]
fn changes_of_two_processes_add_up_and_a_corrupt_file_is_replaced() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-store", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("cordons");
    let (first, second) = (
        CordonFile::new(Some(path.clone())),
        CordonFile::new(Some(path.clone())),
    );
    assert_eq!(first.load().unwrap(), None);
    assert_eq!(
        first.update(&names(&[]), "s-1", CordonChange::Add),
        names(&["s-1"])
    );
    assert_eq!(
        second.update(&names(&[]), "s-2", CordonChange::Add),
        names(&["s-1", "s-2"])
    );
    assert_eq!(
        first.update(&names(&["s-1"]), "s-1", CordonChange::Remove),
        names(&["s-2"])
    );
    assert_eq!(second.load().unwrap(), Some(names(&["s-2"])));
    std::fs::write(&path, "[\"s-2\"").unwrap();
    assert!(first.load().is_err());
    assert_eq!(
        first.update(&names(&["s-2"]), "s-3", CordonChange::Add),
        names(&["s-2", "s-3"])
    );
    assert_eq!(second.load().unwrap(), Some(names(&["s-2", "s-3"])));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// Guards against cordons that are lost at the next start because more were written than are read.
#[test]
fn as_many_cordons_as_are_written_are_read() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-large", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = CordonFile::new(Some(folder.join("cordons")));
    let long_name = |number: usize| format!("{number:0>64}");
    let fleet: EngineNames = (0..12_000).map(long_name).collect();
    let stored = file.update(&fleet, "s-1", CordonChange::Add);
    assert_eq!(file.load().unwrap(), Some(stored.clone()));
    let too_many: EngineNames = (0..80_000).map(long_name).collect();
    write(&folder.join("cordons"), &too_many).unwrap_err();
    assert_eq!(file.load().unwrap(), Some(stored));
    std::fs::remove_dir_all(&folder).unwrap();
}

/// If there is no path, or its folder doesn't exist, a change still takes effect in this process.
#[test]
fn without_a_writable_folder_a_change_still_holds_here() {
    for path in [None, Some(PathBuf::from("/proc/none/cordons"))] {
        let file = CordonFile::new(path);
        assert_eq!(
            file.update(&names(&["s-1"]), "s-2", CordonChange::Add),
            names(&["s-1", "s-2"])
        );
    }
}
/// During an upgrade, another version of the program reads and writes this file, so its format must
/// not change.
#[test]
fn file_has_the_form_that_other_versions_read() {
    let folder = std::env::temp_dir().join(format!("violetgate-{}-cordons", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("cordons");
    let fixture = include_bytes!("../../tests/fixtures/cordons.json");
    std::fs::write(&path, fixture).unwrap();
    let file = CordonFile::new(Some(path.clone()));
    assert_eq!(file.load().unwrap(), Some(names(&["s-1", "s-2"])));
    file.update(&names(&[]), "s-3", CordonChange::Add);
    file.update(&names(&[]), "s-3", CordonChange::Remove);
    assert_eq!(std::fs::read(&path).unwrap(), fixture);
    std::fs::remove_dir_all(&folder).unwrap();
}
