//! Upper bounds of the encoded length of a datagram's parts, so that a datagram can be filled up to
//! a size limit without encoding it twice.

use super::*;

/// Upper bound in bytes of an encoded socket address: variant, IP address and port.
pub(crate) fn address_encoded_len(address: SocketAddr) -> usize {
    const PORT: usize = 3;
    const VARIANT: usize = 1;
    match address {
        SocketAddr::V4(_) => VARIANT + 4 + PORT,
        SocketAddr::V6(_) => VARIANT + 16 + PORT,
    }
}

/// Upper bound in bytes of an encoded text, including its length prefix.
pub(crate) fn text_encoded_len(text: &str) -> usize {
    varint_encoded_len(text.len() as u64) + text.len()
}

/// Length in bytes of an encoded variable-length integer, which holds seven bits per byte.
pub(crate) fn varint_encoded_len(number: u64) -> usize {
    const BITS_PER_BYTE: u32 = 7;
    let bits = (u64::BITS - number.leading_zeros()).max(1);
    bits.div_ceil(BITS_PER_BYTE) as usize
}
