use super::*;

/// Parts of an order key, `[REGION/]SECONDS-NAME`, such as `utara/1796253227-certificate.417`.
///
/// The time is what lets a journal forget: it refuses every key minted before its floor, so a key
/// whose record is gone can never run again. A key without a time would have to be kept for ever,
/// or would run anew once it was forgotten. Keys are compared byte by byte: a caller sends the
/// same text in each resend and never takes a new time for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderKeyParts<'a> {
    /// When the caller made the key, in seconds since 1970.
    pub minted: u64,
    /// Caller's own name for the order.
    pub name: &'a str,
    /// Region that the order belongs to, if the key names one.
    pub region: Option<&'a str>,
}

impl<'a> OrderKeyParts<'a> {
    /// Greatest length of a name, in bytes.
    pub const NAME_LEN: usize = 128;
    /// Greatest length of a region, in bytes.
    pub const REGION_LEN: usize = 64;
    /// Digits of the time: all of the years 2001 to 2286.
    pub const SECONDS_LEN: usize = 10;

    /// Takes a key apart.
    ///
    /// # Errors
    ///
    /// [`OrderKeyError::Form`] if it is not of the form.
    pub fn parse(key: &'a str) -> Result<Self, OrderKeyError> {
        let (region, rest) = match key.split_once('/') {
            Some((region, rest)) => (Some(region), rest),
            None => (None, key),
        };
        let (seconds, name) = rest.split_once('-').ok_or(OrderKeyError::Form)?;
        let region_fits = region.is_none_or(|region| is_word(region, Self::REGION_LEN));
        let seconds_fit =
            seconds.len() == Self::SECONDS_LEN && seconds.bytes().all(|b| b.is_ascii_digit());
        if !region_fits || !seconds_fit || !is_word(name, Self::NAME_LEN) {
            return Err(OrderKeyError::Form);
        }
        Ok(Self {
            minted: seconds.parse().map_err(|_| OrderKeyError::Form)?,
            name,
            region,
        })
    }
}

fn is_word(text: &str, longest: usize) -> bool {
    (1..=longest).contains(&text.len())
        && text
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':'))
}
