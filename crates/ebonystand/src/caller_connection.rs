use super::*;
use {
    caller_presence::CallerPresence,
    rustix::net::sockopt::set_socket_linger,
    slow_readers::ConnectionAccount,
    std::{
        io::IoSlice,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Connection of a caller, which can be reset in place of closed.
///
/// A body without a length or chunks ends where its connection is closed, so a connection that ends
/// for any other reason must be reset, also by the operating system if the process is killed.
pub(crate) struct CallerConnection {
    account: ConnectionAccount,
    close_mode: CloseMode,
    io: TcpStream,
    presence: CallerPresence,
    /// Mode that the socket is set to.
    resets: bool,
}

/// How a connection ends, shared with the bodies that are sent over it.
#[derive(Clone, Default)]
pub(crate) struct CloseMode(Rc<Cell<bool>>);

impl CloseMode {
    /// Has the connection reset, or closed in an orderly way, from the next write on.
    pub(crate) fn set_resets(&self, resets: bool) {
        self.0.set(resets);
    }
}

impl CallerConnection {
    pub(crate) fn new(io: TcpStream, account: ConnectionAccount) -> Self {
        Self {
            account,
            close_mode: CloseMode::default(),
            io,
            presence: CallerPresence::default(),
            resets: false,
        }
    }

    pub(crate) fn account(&self) -> ConnectionAccount {
        self.account.clone()
    }

    pub(crate) fn close_mode(&self) -> CloseMode {
        self.close_mode.clone()
    }

    pub(crate) fn presence(&self) -> CallerPresence {
        self.presence.clone()
    }

    fn apply_close_mode(&mut self) -> io::Result<()> {
        if self.account.is_broken_off() {
            set_socket_linger(&self.io, Some(Duration::ZERO))?;
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let resets = self.close_mode.0.get();
        if resets != self.resets {
            set_socket_linger(&self.io, resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let read = Pin::new(&mut self.io).poll_read(cx, buf);
        let has_ended = match &read {
            Poll::Ready(Ok(())) => buf.filled().len() == filled && buf.remaining() > 0,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if has_ended {
            self.presence.set_gone();
        }
        read
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.presence.set_gone();
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_close_mode()?;
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.account.record_write(cx, &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.apply_close_mode()?;
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.account.record_write(cx, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.apply_close_mode()?;
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
