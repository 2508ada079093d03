//! One header field.

/// One header field, its value as it was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// The name, in the sender's case.
    pub name: String,
    /// The value without the white space around it.
    pub value: Vec<u8>,
}

impl Header {
    /// A field with a text value.
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self { name: name.into(), value: value.into().into_bytes() }
    }

    /// Whether the field has this name.
    pub fn has_name(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}
