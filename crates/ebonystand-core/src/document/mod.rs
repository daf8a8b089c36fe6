//! Configuration document: its content, its changes, and its transfer in parts.

use super::*;

pub use {
    document_cursor::DocumentCursor, document_entry::DocumentEntry, document_fault::DocumentFault,
    document_part::DocumentPart, document_section::DocumentSection, state::Document,
};

pub(crate) use document_copy::DocumentCopy;

mod document_change;
mod document_copy;
mod document_cursor;
mod document_entry;
mod document_fault;
mod document_part;
mod document_parts;
mod document_section;
mod state;
