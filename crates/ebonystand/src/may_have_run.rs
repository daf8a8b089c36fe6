use super::*;

/// Whether an upstream may have run a request, shared with what answers the caller when this VM ends.
#[derive(Clone, Default)]
pub(crate) struct MayHaveRun(Rc<Cell<bool>>);

impl MayHaveRun {
    pub(crate) fn get(&self) -> bool {
        self.0.get()
    }

    pub(crate) fn set(&self, may_have_run: bool) {
        self.0.set(may_have_run);
    }
}
