//! Writes the generated code of the wire messages to its committed place.

use std::io;

fn main() -> io::Result<()> {
    whinspring_codegen::generate(&whinspring_codegen::wire_crate().join("src/generated"))
}
