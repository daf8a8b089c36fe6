//! Upper bounds of the encoded length of the parts of a datagram, so that it can be filled up to
//! a limit without being encoded twice.

use super::*;

/// Bytes of an address: variant, IP number, port.
pub(crate) fn address_encoded_len(address: SocketAddr) -> usize {
    const PORT: usize = 3;
    const VARIANT: usize = 1;
    match address {
        SocketAddr::V4(_) => VARIANT + 4 + PORT,
        SocketAddr::V6(_) => VARIANT + 16 + PORT,
    }
}

/// Bytes of a text with its length.
pub(crate) fn text_encoded_len(text: &str) -> usize {
    varint_encoded_len(text.len() as u64) + text.len()
}

/// Bytes of a number with seven bits a byte.
pub(crate) fn varint_encoded_len(number: u64) -> usize {
    const BITS_PER_BYTE: u32 = 7;
    let bits = (u64::BITS - number.leading_zeros()).max(1);
    bits.div_ceil(BITS_PER_BYTE) as usize
}
