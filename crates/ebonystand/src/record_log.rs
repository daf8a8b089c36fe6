use super::*;

/// An append-only file of frames, one frame a batch.
///
/// A frame is a header of [`RecordLog::HEADER`] bytes, little-endian: length of the body (u32),
/// number of the frame in its file (u64), CRC-32 of the body (u32), CRC-32 of the header so far
/// (u32); then the body, a `postcard` sequence of [`LogRecord`].
///
/// A batch is synced before the next one is written. So a crash can damage the last frame only:
/// a damaged frame with an intact one behind it was synced once, and is refused.
#[derive(Debug)]
pub(crate) struct RecordLog {
    file: File,
    frames: u64,
    /// Length of the intact frames in bytes.
    len: u64,
    path: PathBuf,
}

impl RecordLog {
    /// Length of a file that holds one frame without records, in bytes.
    pub(crate) const EMPTY_LEN: u64 = Self::HEADER as u64 + 1;

    /// Length of a frame's header in bytes.
    pub(crate) const HEADER: usize = 20;

    /// Adds a batch and syncs it.
    pub(crate) fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        let frame = Self::frame(self.frames, records)?;
        let path = &self.path;
        let mut tried = false;
        let write = || {
            // A try that found no room may have left a part of the frame.
            if std::mem::replace(&mut tried, true) {
                self.file.set_len(self.len)?;
            }
            self.file.write_all(&frame)
        };
        once_there_is_room(path, FULL_PAUSE, write).context(IoSnafu {
            action: "write",
            path,
        })?;
        self.file.sync_data().context(IoSnafu {
            action: "sync",
            path,
        })?;
        self.frames += 1;
        self.len += frame.len() as u64;
        Ok(())
    }

    /// Makes or replaces the file at once, with one frame; a crash leaves the old one or the new.
    pub(crate) fn create(path: &Path, records: &[LogRecord]) -> Result<Self, StorageError> {
        let frame = Self::frame(0, records)?;
        replace_file(path, &frame)?;
        let file = File::options().append(true).open(path).context(IoSnafu {
            action: "open",
            path,
        })?;
        Ok(Self {
            file,
            frames: 1,
            len: frame.len() as u64,
            path: path.into(),
        })
    }

    /// One frame with `records`.
    pub(crate) fn frame(number: u64, records: &[LogRecord]) -> Result<Vec<u8>, StorageError> {
        let mut frame = vec![0; Self::HEADER];
        frame = postcard::to_extend(records, frame).unwrap_or_default();
        let len = frame.len().saturating_sub(Self::HEADER);
        let body_len = u32::try_from(len)
            .ok()
            .filter(|_| frame.len() > Self::HEADER)
            .context(FrameTooLargeSnafu { len })?;
        let body_sum = crc32fast::hash(&frame[Self::HEADER..]);
        frame[..4].copy_from_slice(&body_len.to_le_bytes());
        frame[4..12].copy_from_slice(&number.to_le_bytes());
        frame[12..16].copy_from_slice(&body_sum.to_le_bytes());
        let sum = crc32fast::hash(&frame[..16]);
        frame[16..20].copy_from_slice(&sum.to_le_bytes());
        Ok(frame)
    }

    /// Opens the file and returns its batches, after a torn last frame was cut off.
    pub(crate) fn open(path: &Path) -> Result<(Self, Vec<LogRecord>), StorageError> {
        let bytes = fs::read(path).context(IoSnafu {
            action: "read",
            path,
        })?;
        let mut frames = 0;
        let mut offset = 0;
        let mut records = Vec::new();
        while let Some((batch, end)) = Self::parse(&bytes, offset, Some(frames)) {
            records.extend(batch);
            frames += 1;
            offset = end;
        }
        // The first frame comes with the file, whole: an empty file has lost a vote.
        ensure!(
            frames > 0,
            CorruptSnafu {
                offset: 0_u64,
                path
            }
        );
        let file = File::options().append(true).open(path).context(IoSnafu {
            action: "open",
            path,
        })?;
        if offset < bytes.len() {
            Self::cut(path, &file, &bytes, offset)?;
        }
        let log = Self {
            file,
            frames,
            len: offset as u64,
            path: path.into(),
        };
        Ok((log, records))
    }

    /// The intact frame at `offset` and where it ends; `number` is the one it must have.
    pub(crate) fn parse(
        bytes: &[u8],
        offset: usize,
        number: Option<u64>,
    ) -> Option<(Vec<LogRecord>, usize)> {
        let rest = bytes.get(offset..)?;
        let (header, rest) = rest.split_at_checked(Self::HEADER)?;
        let sum = u32::from_le_bytes(header[16..20].try_into().ok()?);
        if crc32fast::hash(&header[..16]) != sum {
            return None;
        }
        let found = u64::from_le_bytes(header[4..12].try_into().ok()?);
        if number.is_some_and(|number| number != found) {
            return None;
        }
        let len = usize::try_from(u32::from_le_bytes(header[..4].try_into().ok()?)).ok()?;
        let body = rest.get(..len)?;
        if crc32fast::hash(body) != u32::from_le_bytes(header[12..16].try_into().ok()?) {
            return None;
        }
        let records = postcard::from_bytes(body).ok()?;
        Some((records, offset + Self::HEADER + len))
    }

    fn cut(path: &Path, file: &File, bytes: &[u8], offset: usize) -> Result<(), StorageError> {
        let at = offset as u64;
        let behind = (offset..bytes.len()).any(|at| Self::parse(bytes, at, None).is_some());
        ensure!(!behind, CorruptSnafu { offset: at, path });
        log::warn!(
            "cut off a torn write of {} bytes at byte {at} of {}",
            bytes.len() - offset,
            path.display()
        );
        file.set_len(at).context(IoSnafu {
            action: "cut",
            path,
        })?;
        file.sync_all().context(IoSnafu {
            action: "sync",
            path,
        })
    }
}
