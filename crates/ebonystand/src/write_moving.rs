use {super::*, tokio::io::AsyncWrite};

/// Writes all of `buf`, giving up once no byte has been taken for `patience`.
///
/// A limit for the whole would end a sound connection whose link is slow or busy, and what was to
/// be written would be sent again from its start, for ever.
///
/// # Errors
/// [`ErrorKind::TimedOut`] if no byte is taken any more, or what `io` says.
pub async fn write_moving(
    io: &mut (impl AsyncWrite + Unpin),
    buf: &mut BytesMut,
    patience: Duration,
) -> io::Result<()> {
    while !buf.is_empty() {
        let taken = actix_rt::time::timeout(patience, io.write_buf(buf)).await;
        let taken = taken.map_err(|_| io::Error::from(ErrorKind::TimedOut))??;
        if taken == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
    }
    Ok(())
}
