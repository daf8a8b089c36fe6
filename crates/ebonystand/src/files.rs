//! Durable replacement of files.

use super::*;

/// Replaces the file at `path` by `bytes`; a crash leaves the old file or the new one, whole.
///
/// The bytes are synced before the rename, or the new name could stand for an empty file; the
/// folder is synced after it, or the old file could come back.
pub(crate) fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), StorageError> {
    let temp = path.with_extension("tmp");
    let write = || {
        let mut file = File::create(&temp)?;
        file.write_all(bytes)?;
        file.sync_all()
    };
    once_there_is_room(&temp, FULL_PAUSE, write).context(IoSnafu {
        action: "write",
        path: &temp,
    })?;
    fs::rename(&temp, path).context(IoSnafu {
        action: "rename",
        path: &temp,
    })?;
    sync_folder(path.parent().unwrap_or(Path::new(".")))
}

/// Time between two tries to write to a disk that is full: short against the time in which
/// somebody makes room.
pub(crate) const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Tries a write again and again while the disk has no room for it. Each try has to begin at a known
/// state of the file, since one that failed may have written a part.
///
/// Without it the process would end, start again and end at its first write, until there is room.
/// Waiting, the replica says nothing, as with a disk that stalls: another one leads meanwhile.
///
/// # Errors
/// Any fault of the write but a full disk.
pub fn once_there_is_room<T>(
    path: &Path,
    pause: Duration,
    mut write: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut is_full = false;
    loop {
        match write() {
            Err(error) if error.kind() == ErrorKind::StorageFull => {
                if !is_full {
                    log::error!(path:% = path.display(); "the disk is full: waiting for room");
                }
                is_full = true;
                std::thread::sleep(pause);
            }
            result => {
                if is_full {
                    log::info!(path:% = path.display(); "the disk has room again");
                }
                return result;
            }
        }
    }
}

/// Syncs the names in a folder.
pub(crate) fn sync_folder(path: &Path) -> Result<(), StorageError> {
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .context(IoSnafu {
            action: "sync",
            path,
        })
}
