//! Generates the code of `portfield-wire` from `portfield.proto`.
//!
//! Run it after each change to the `.proto` file. With `--check` it writes nothing and
//! fails if the committed code is out of date.

use std::{env, error::Error, fs, path::Path, process::ExitCode};

const CRATE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../portfield-wire");
const OUTPUT: &str = "src/generated/portfield.rs";

fn main() -> Result<ExitCode, Box<dyn Error>> {
    let root = Path::new(CRATE);
    let code = generate(root)?;
    let target = root.join(OUTPUT);
    if !env::args().any(|it| it == "--check") {
        fs::write(target, code)?;
        return Ok(ExitCode::SUCCESS);
    }
    if fs::read_to_string(target)? == code {
        return Ok(ExitCode::SUCCESS);
    }
    Err("the generated code is out of date: run `cargo run -p portfield-wire-gen`".into())
}

/// Compiles the `.proto` file and returns the Rust code.
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
