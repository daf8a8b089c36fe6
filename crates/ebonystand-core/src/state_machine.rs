use super::*;

/// Replicated state machine: the configuration and the journal of once-only orders. Equal entries
/// applied in equal order give equal state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StateMachine {
    catalog: Catalog,
    orders: OrderJournal,
}

impl StateMachine {
    /// Applies the next committed command.
    pub fn apply(&mut self, command: &Command) -> CommandOutcome {
        match command {
            Command::Barrier => CommandOutcome::Barrier(self.catalog.version()),
            Command::Change(req) => self.catalog.apply(req).into(),
            Command::Order(command) => self.orders.apply(command).into(),
        }
    }

    /// Decodes a snapshot that [`Self::encode`] or an older build has encoded.
    ///
    /// # Errors
    /// [`postcard::Error`] if the bytes are not a snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let ((mut catalog, orders), rest): ((Catalog, OrderJournal), _) =
            postcard::take_from_bytes(bytes)?;
        // A snapshot of an older build ends here.
        if !rest.is_empty() {
            catalog.evacuation_versions = postcard::from_bytes(rest)?;
        }
        Ok(Self { catalog, orders })
    }

    /// Encodes the state as a snapshot. Older builds ignore what they don't know at its end.
    ///
    /// # Errors
    /// [`postcard::Error`] if the state cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(&(
            &self.catalog,
            &self.orders,
            &self.catalog.evacuation_versions,
        ))
    }

    /// Returns the configuration.
    #[must_use]
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Applies a change that the log's members have accepted, on a VM that isn't one of them.
    /// Returns whether it was the next change.
    pub fn apply_accepted(&mut self, accepted: &AcceptedChange) -> bool {
        self.catalog.apply_accepted(accepted)
    }

    /// Replaces the configuration by a newer document, on a VM that isn't a member of the log.
    /// Returns whether the document was newer.
    pub fn install_document(&mut self, document: Document) -> bool {
        self.catalog.install_document(document)
    }

    /// Returns the journal of once-only orders.
    #[must_use]
    pub fn orders(&self) -> &OrderJournal {
        &self.orders
    }
}
