//! A header field that can be forwarded with the name and value that were received.

/// One header field.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name, in the case in which it was received.
    pub name: String,
    /// The value as it was received, without leading and trailing white space.
    pub value: Vec<u8>,
}

impl Header {
    /// A field with a text value.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self { name: name.into(), value: value.into().into_bytes() }
    }

    /// Whether the field has this name, in any case.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}
