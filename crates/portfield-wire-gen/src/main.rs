//! Writes the code that `portfield-wire` commits.
//!
//! Run it after a change to the `.proto` file. With `--check` it writes nothing
//! and fails if the committed code is not current.

use std::{env, error::Error, fs, path::Path, process::ExitCode};

const CRATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../portfield-wire");
const OUTPUT: &str = "src/generated/portfield.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let root = Path::new(CRATE);
    let fresh = generate(root)?;
    let target = root.join(OUTPUT);
    if !env::args().any(|it| it == "--check") {
        fs::write(target, fresh)?;
        return Ok(ExitCode::SUCCESS);
    }
    if fs::read_to_string(target)? == fresh {
        return Ok(ExitCode::SUCCESS);
    }
    Err("the generated code is not current: run `cargo run -p portfield-wire-gen`".into())
}

/// Compiles the protocol file and returns the Rust code.
fn generate(root: &Path) -> Result<String, Box<dyn Error>> {
    let proto = root.join("proto");
    let files = protox::compile([proto.join("portfield.proto")], [proto])?;
    let out = env::temp_dir().join(format!("portfield-wire-{}", std::process::id()));
    fs::create_dir_all(&out)?;
    tonic_prost_build::configure().build_transport(false).out_dir(&out).compile_fds(files)?;
    let res = fs::read_to_string(out.join("portfield.rs"))?;
    fs::remove_dir_all(&out)?;
    Ok(res)
}
