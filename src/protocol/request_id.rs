//! Request ids on the wire: 16 lower-case hexadecimal digits, the format of [`RequestId`]'s `Display`.

use crate::api::RequestId;

const ID_DIGITS: usize = 16;
const HEX_RADIX: u32 = 16;

/// Parses a request id; `None` if the text is not 16 lower-case hexadecimal digits.
pub(super) fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, HEX_RADIX).ok().map(RequestId)
}
