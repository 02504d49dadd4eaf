//! Memory for requests that wait for a server, in bytes over all connections.
//!
//! Load pattern: servers that do not read, or that are all busy, leave the bodies of requests on a node
//! with little memory until their deadlines. A body that finds no space is rejected before it runs.

use {
    bytes::{Bytes, BytesMut},
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Most bytes of request bodies on a node, a fraction of the memory of the smallest one.
pub const MAX_BODY_BYTES: usize = 32 << 20;

/// Largest body that is not counted: as much is in the read buffer of each connection anyway.
pub const MIN_COUNTED: usize = 4 << 10;

/// Space for request bodies.
#[derive(Debug)]
pub struct Buffers {
    limit: usize,
    used: AtomicUsize,
}

impl Buffers {
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns the bytes that are in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// There is no space for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// A body that is being read, or its space until it is dropped.
#[derive(Debug)]
pub struct Buffer {
    buffers: Arc<Buffers>,
    bytes: BytesMut,
    counted: usize,
}

impl Buffer {
    pub fn new(buffers: &Arc<Buffers>) -> Self {
        Self { buffers: buffers.clone(), bytes: BytesMut::new(), counted: 0 }
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// Fails if there is no space for them. The only body of a node may take more than there is: the
    /// configuration limits its size.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), Full> {
        let needed = self.bytes.len() + bytes.len();
        let others = self.buffers.used() - self.counted;
        if needed > MIN_COUNTED && others > 0 && others + needed > self.buffers.limit {
            return Err(Full);
        }
        self.bytes.extend_from_slice(bytes);
        self.count(self.bytes.capacity());
        Ok(())
    }

    /// Returns the whole body; its space is in use until the last copy is dropped.
    pub fn freeze(self) -> Bytes {
        if self.counted == 0 {
            Bytes::copy_from_slice(&self.bytes)
        } else {
            Bytes::from_owner(self)
        }
    }

    /// Counts the space of the body.
    fn count(&mut self, size: usize) {
        let size = if size > MIN_COUNTED { size } else { 0 };
        let others = self.buffers.used() - self.counted;
        self.buffers.used.store(others + size, Ordering::Relaxed);
        self.counted = size;
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        self.count(0);
    }
}
