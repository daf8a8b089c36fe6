//! The data folder of a replica, and what crashes and damage do to it.

use {
    bytes::Bytes,
    ebonystand::{Group, GroupEffect, Storage, StorageError, once_there_is_room},
    ebonystand_core::{
        DurableState, HardState, LogEntry, LogIndex, LogPayload, LogPosition, LogRecord,
        LogSnapshot, MemberId, Membership, ReplicaConfig, ReplicaInput, VmId,
    },
    rstest::rstest,
    std::{
        collections::BTreeSet,
        fs,
        io::{self, ErrorKind},
        path::{Path, PathBuf},
        time::Duration,
    },
    tempfile::TempDir,
};

fn entry(index: LogIndex) -> LogRecord {
    LogRecord::Append(LogEntry {
        payload: LogPayload::Command(format!("command {index}").into_bytes().into()),
        position: LogPosition { index, term: 1 },
    })
}

fn snapshot(index: LogIndex) -> LogRecord {
    LogRecord::Snapshot(LogSnapshot {
        members: Membership::default(),
        position: LogPosition { index, term: 1 },
        state: Bytes::from_static(b"state"),
    })
}

fn vote() -> LogRecord {
    LogRecord::HardState(HardState {
        term: 7,
        voted_for: Some(MemberId {
            incarnation: 1,
            vm: "a".into(),
        }),
    })
}

/// A folder with a founding snapshot and three batches, and the state before the last of them.
fn written() -> (TempDir, PathBuf, DurableState) {
    let folder = TempDir::new().expect("a folder");
    let (mut storage, mut state) = Storage::open(folder.path()).expect("opens");
    let batches = [
        vec![snapshot(1)],
        vec![vote(), entry(2)],
        vec![entry(3), entry(4)],
    ];
    for batch in batches {
        batch.iter().for_each(|record| state.apply(record.clone()));
        storage.persist(batch).expect("persists");
    }
    storage.persist(vec![entry(5)]).expect("persists");
    let log = folder.path().join("log");
    (folder, log, state)
}

fn reopen(folder: &Path) -> Result<DurableState, StorageError> {
    Storage::open(folder).map(|(_, state)| state)
}

/// Power fails while a batch is being written, so nothing of it was answered. At any byte where
/// the write stopped, the folder opens with all earlier batches and none of this one.
#[test]
fn a_torn_last_write_is_cut_off_at_every_byte() {
    let (folder, log, before) = written();
    let whole = fs::read(&log).expect("reads");
    let (_, full) = Storage::open(folder.path()).expect("opens");
    assert_eq!(full.entries.len(), before.entries.len() + 1);
    let start = whole.len() - (20 + "command 5".len() + 6);
    for len in start..whole.len() {
        for tail in [&[][..], &[0; 64][..]] {
            fs::write(&log, [&whole[..len], tail].concat()).expect("writes");
            assert_eq!(reopen(folder.path()).expect("opens"), before, "at {len}");
            assert_eq!(fs::read(&log).expect("reads"), whole[..start]);
        }
    }
}

/// A bit rots in a batch that was synced and answered long ago. Cutting the log there would lose
/// acknowledged entries without a word; the folder is refused instead.
#[test]
fn damage_before_the_last_batch_is_refused_at_every_byte() {
    let (folder, log, _) = written();
    let whole = fs::read(&log).expect("reads");
    let last = whole.len() - (20 + "command 5".len() + 6);
    for at in 0..last {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x10;
        fs::write(&log, bytes).expect("writes");
        let error = reopen(folder.path()).expect_err("refuses");
        assert!(
            matches!(error, StorageError::Corrupt { .. }),
            "at {at}: {error}"
        );
    }
}

/// The process dies between writing a snapshot and shortening the log. The next start finds both,
/// and half-written temporary files beside them; no entry is lost or comes twice.
#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let (folder, log, mut state) = written();
    let old_log = fs::read(&log).expect("reads");
    let (mut storage, _) = Storage::open(folder.path()).expect("opens");
    storage.persist(vec![snapshot(3)]).expect("persists");
    drop(storage);
    fs::write(&log, old_log).expect("writes");
    fs::write(folder.path().join("snapshot.tmp"), b"half").expect("writes");
    fs::write(folder.path().join("log.tmp"), b"half").expect("writes");
    state.apply(entry(5));
    state.apply(snapshot(3));
    assert_eq!(reopen(folder.path()).expect("opens"), state);
}

#[test]
fn a_snapshot_shortens_the_log_and_keeps_vote_and_later_entries() {
    let (folder, log, mut state) = written();
    let before = fs::metadata(&log).expect("is there").len();
    let (mut storage, _) = Storage::open(folder.path()).expect("opens");
    storage.persist(vec![snapshot(4)]).expect("persists");
    drop(storage);
    state.apply(entry(5));
    state.apply(snapshot(4));
    assert!(fs::metadata(&log).expect("is there").len() < before);
    assert_eq!(reopen(folder.path()).expect("opens"), state);
}

/// Files vanish or are swapped for older ones while the process is down. What remains looks whole
/// by itself, but going on with it would forget a vote or entries.
#[rstest]
#[case::log("log")]
#[case::identity("identity")]
#[case::snapshot("snapshot")]
fn a_folder_that_lacks_a_file_is_refused(#[case] name: &str) {
    let (folder, _, _) = written();
    fs::remove_file(folder.path().join(name)).expect("removes");
    reopen(folder.path()).expect_err("refuses");
}

#[test]
fn a_damaged_snapshot_is_refused() {
    let (folder, _, _) = written();
    let path = folder.path().join("snapshot");
    let mut bytes = fs::read(&path).expect("reads");
    bytes[30] ^= 1;
    fs::write(&path, bytes).expect("writes");
    let error = reopen(folder.path()).expect_err("refuses");
    assert!(matches!(error, StorageError::Corrupt { .. }));
}

/// Two processes with one folder would answer for each other's votes.
#[test]
fn a_folder_in_use_is_refused() {
    let folder = TempDir::new().expect("a folder");
    let _first = Storage::open(folder.path()).expect("opens");
    let error = Storage::open(folder.path()).expect_err("refuses");
    assert!(matches!(error, StorageError::Locked { .. }));
}

/// A VM's disk is lost. Under its old incarnation it could vote twice, so the empty folder must
/// draw another; an intact one must keep its own.
#[test]
fn an_empty_folder_draws_a_new_incarnation() {
    let (folder, _, before) = written();
    let same = reopen(folder.path()).expect("opens");
    assert_eq!(same.incarnation, before.incarnation);
    fs::remove_dir_all(folder.path()).expect("removes");
    let other = reopen(folder.path()).expect("opens");
    assert_eq!(other, DurableState::empty(other.incarnation));
    assert_ne!(other.incarnation, before.incarnation);
}

/// A single VM founds its group, commits, is killed and starts again: every acknowledged command
/// is committed again, once and in order.
#[test]
fn a_group_of_one_commits_again_after_a_restart() {
    let folder = TempDir::new().expect("a folder");
    let first = commits(folder.path(), &["x", "y"]);
    assert_eq!(first, ["x", "y"]);
    assert_eq!(commits(folder.path(), &["z"]), ["x", "y", "z"]);
}

/// The disk is full for a while. A write that finds no room is tried again from where the file stood, so
/// that the process neither ends nor leaves a part of the write behind; any other fault is told at once.
#[test]
fn a_write_waits_for_room_on_a_full_disk() {
    let full = || io::Error::from(ErrorKind::StorageFull);
    let mut results = vec![Ok(7), Err(full()), Err(full())];
    let write = || results.pop().expect("no try after one that succeeded");
    let written = once_there_is_room(Path::new("log"), Duration::ZERO, write);
    assert_eq!(written.expect("written"), 7);
    let broken = || Err::<(), _>(io::Error::from(ErrorKind::BrokenPipe));
    let told = once_there_is_room(Path::new("log"), Duration::ZERO, broken);
    assert_eq!(told.expect_err("told").kind(), ErrorKind::BrokenPipe);
}

fn commits(folder: &Path, commands: &[&str]) -> Vec<String> {
    let vm = VmId::from("a");
    let cfg = ReplicaConfig::new(vm.clone(), BTreeSet::from([vm]));
    let mut group = Group::open(folder, cfg, Duration::ZERO, 1).expect("opens");
    let mut effects = Vec::new();
    while group.replica().leader().is_none() {
        let now = group.replica().deadline();
        effects.extend(group.step(now, ReplicaInput::Tick).expect("steps"));
    }
    let proposals = commands.iter().map(|command| ReplicaInput::Propose {
        command: Bytes::copy_from_slice(command.as_bytes()),
        id: 1,
    });
    let now = group.replica().deadline();
    effects.extend(group.step_all(now, proposals).expect("steps"));
    effects
        .into_iter()
        .filter_map(|effect| match effect {
            GroupEffect::Commit { entry } => match entry.payload {
                LogPayload::Command(command) => String::from_utf8(command.to_vec()).ok(),
                LogPayload::Members(_) | LogPayload::Noop => None,
            },
            _ => None,
        })
        .collect()
}
