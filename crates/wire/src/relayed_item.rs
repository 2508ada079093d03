//! Conversion of published items that instances pass on to each other.
//!
//! Long values are compressed: a configuration goes to several instances at once, and uncompressed
//! copies of it would fill a slow link for seconds.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use thiserror::Error;
use turmericrail_core::forward::PublishedItem;

use crate::relay::Item;

/// Length from which values are compressed; shorter ones hardly fill a packet.
const MIN_DEFLATED_BYTES: usize = 4 * 1024;
/// Longest value after decompression.
const MAX_VALUE_BYTES: usize = 8 << 20;
/// Compression level from 0 to 10; higher ones take several times as long for a tenth less.
const COMPRESSION_LEVEL: u8 = 1;

/// An item whose value can't be decompressed.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("the compressed value of the item {key:?} can't be read")]
pub struct InflateError {
    /// Key of the item.
    pub key: String,
}

/// The compressed value of an item; `None` if it is short or the item was removed.
pub fn deflate_value(item: &PublishedItem) -> Option<Vec<u8>> {
    let value = item.value.as_ref().filter(|value| value.len() >= MIN_DEFLATED_BYTES)?;
    Some(compress_to_vec(value, COMPRESSION_LEVEL))
}

/// An item for another instance, with its compressed value if there is one.
pub fn encode_item(item: PublishedItem, deflated_value: Option<Vec<u8>>) -> Item {
    let value = item.value.filter(|_| deflated_value.is_none());
    Item { key: item.key, revision: item.revision, value, deflated_value }
}

/// The item that another instance has sent.
pub fn decode_item(item: Item) -> Result<PublishedItem, InflateError> {
    let Item { key, revision, value, deflated_value } = item;
    let value = match deflated_value {
        None => value,
        Some(bytes) => match decompress_to_vec_with_limit(&bytes, MAX_VALUE_BYTES) {
            Ok(value) => Some(value),
            Err(_) => return Err(InflateError { key }),
        },
    };
    Ok(PublishedItem { key, revision, value })
}
