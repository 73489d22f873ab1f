//! Request ids on the wire: 16 lower-case hexadecimal digits, as [`RequestId`]'s `Display` writes them.

use crate::api::RequestId;

const DIGITS: usize = 16;
const HEXADECIMAL: u32 = 16;

/// The id that this text is; `None` unless it is written exactly as it would be sent back.
pub(super) fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_digit = |byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if text.len() != DIGITS || !text.bytes().all(is_digit) {
        return None;
    }
    u64::from_str_radix(text, HEXADECIMAL).ok().map(RequestId)
}
