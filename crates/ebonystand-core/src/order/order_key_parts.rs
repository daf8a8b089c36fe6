use super::*;

/// Parts of an order key of the form `[REGION/]SECONDS-NAME`, such as
/// `utara/1796253227-certificate.417`.
///
/// The time allows a journal to delete old records: it rejects every key minted before its floor,
/// so an order whose record is deleted can never run again. Without a time, a record would have to
/// be kept for ever, or its order could run again once the record was deleted. Keys are compared
/// byte by byte: a caller must send the same text in each retry and must not update its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderKeyParts<'a> {
    /// Time at which the caller created the key, in seconds since 1970.
    pub minted: u64,
    /// Name that the caller chose for the order.
    pub name: &'a str,
    /// Region that the order belongs to, if the key names one.
    pub region: Option<&'a str>,
}

impl<'a> OrderKeyParts<'a> {
    /// Maximum length of an order's name in bytes.
    pub const MAX_NAME_LEN: usize = 128;
    /// Maximum length of a region's name in bytes.
    pub const MAX_REGION_LEN: usize = 64;
    /// Number of digits of the time; covers the years 2001 to 2286.
    pub const SECONDS_LEN: usize = 10;

    /// Parses an order key.
    ///
    /// # Errors
    ///
    /// Returns [`OrderKeyError::Malformed`] if the key isn't of the form `[REGION/]SECONDS-NAME`.
    pub fn parse(key: &'a str) -> Result<Self, OrderKeyError> {
        let (region, rest) = match key.split_once('/') {
            Some((region, rest)) => (Some(region), rest),
            None => (None, key),
        };
        let (seconds, name) = rest.split_once('-').ok_or(OrderKeyError::Malformed)?;
        let region_fits = region.is_none_or(|region| is_valid_part(region, Self::MAX_REGION_LEN));
        let seconds_fit =
            seconds.len() == Self::SECONDS_LEN && seconds.bytes().all(|b| b.is_ascii_digit());
        if !region_fits || !seconds_fit || !is_valid_part(name, Self::MAX_NAME_LEN) {
            return Err(OrderKeyError::Malformed);
        }
        Ok(Self {
            minted: seconds.parse().map_err(|_| OrderKeyError::Malformed)?,
            name,
            region,
        })
    }
}

fn is_valid_part(text: &str, max_len: usize) -> bool {
    (1..=max_len).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':'))
}
