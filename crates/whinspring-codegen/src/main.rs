//! Writes the generated code of the wire messages to the source tree of `whinspring-wire`.

use std::io;

fn main() -> io::Result<()> {
    whinspring_codegen::generate(&whinspring_codegen::wire_crate().join("src/generated"))
}
