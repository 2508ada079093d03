//! Growth of buffers whose final size isn't known.

/// The capacity of a buffer with room for more bytes. It grows by a quarter, since doubling would leave
/// half of the memory of a long one unused.
pub fn grown_capacity(buffer: &Vec<u8>, added_bytes: usize) -> usize {
    if buffer.capacity() - buffer.len() >= added_bytes {
        return buffer.capacity();
    }
    buffer.len() + added_bytes.max(buffer.len() / 4)
}

/// Makes room for more bytes.
pub fn grow_for(buffer: &mut Vec<u8>, added_bytes: usize) {
    buffer.reserve_exact(grown_capacity(buffer, added_bytes) - buffer.len());
}
