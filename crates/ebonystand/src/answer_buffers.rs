use {super::*, ebonystand_core::BufferedAnswers};

/// Bounds the memory of answers that this VM reads whole before it passes them on.
pub(crate) struct AnswerBuffers {
    answers: RefCell<BufferedAnswers>,
    next_id: Cell<u64>,
    stops: RefCell<FxHashMap<u64, Rc<Cell<bool>>>>,
}

/// An answer that is being read whole.
pub(crate) struct AnswerBuffer {
    buf: BytesMut,
    buffers: Rc<AnswerBuffers>,
    id: u64,
    is_stopped: Rc<Cell<bool>>,
    limit: usize,
}

/// The answer is larger than an answer may be, or than the VM has memory for.
#[derive(Debug, Snafu)]
#[snafu(display("the answer is too large to be read whole: {len} bytes so far"))]
pub(crate) struct AnswerTooLarge {
    len: usize,
}

impl AnswerBuffers {
    pub(crate) fn new(memory: Option<u64>) -> Rc<Self> {
        Rc::new(Self {
            answers: RefCell::new(BufferedAnswers::new(memory)),
            next_id: Cell::new(0),
            stops: RefCell::default(),
        })
    }

    /// Begins to read an answer of up to `limit` bytes.
    pub(crate) fn open(self: &Rc<Self>, limit: usize) -> AnswerBuffer {
        self.next_id.set(self.next_id.get() + 1);
        let id = self.next_id.get();
        let is_stopped = Rc::<Cell<bool>>::default();
        self.stops.borrow_mut().insert(id, Rc::clone(&is_stopped));
        AnswerBuffer {
            buf: BytesMut::new(),
            buffers: Rc::clone(self),
            id,
            is_stopped,
            limit,
        }
    }

    fn set(&self, id: u64, bytes: usize) {
        let stopped = self.answers.borrow_mut().set(id, bytes as u64);
        if stopped.is_empty() {
            return;
        }
        log::warn!(
            answers = stopped.len(), held_bytes = self.answers.borrow().total();
            "answers given up: too much is read whole at once"
        );
        let stops = self.stops.borrow();
        let flags = stopped.iter().filter_map(|id| stops.get(id));
        flags.for_each(|flag| flag.set(true));
    }
}

impl AnswerBuffer {
    /// Adds the next bytes of the answer.
    ///
    /// # Errors
    /// [`AnswerTooLarge`] if the answer must be given up.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), AnswerTooLarge> {
        let len = self.buf.len() + bytes.len();
        if len <= self.limit && !self.is_stopped.get() {
            self.buf.extend_from_slice(bytes);
            self.buffers.set(self.id, self.buf.capacity());
        }
        ensure!(
            len <= self.limit && !self.is_stopped.get(),
            AnswerTooLargeSnafu { len }
        );
        Ok(())
    }

    /// Returns the whole answer.
    pub(crate) fn finish(mut self) -> Bytes {
        self.buf.split().freeze()
    }
}

impl Drop for AnswerBuffer {
    fn drop(&mut self) {
        self.buffers.stops.borrow_mut().remove(&self.id);
        self.buffers.answers.borrow_mut().remove(self.id);
    }
}
