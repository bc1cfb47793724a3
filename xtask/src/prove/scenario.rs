//! Scenario files, in one folder for each property.

use std::fs;
use std::path;

/// Scenario file that was read and compiles.
pub struct ScenarioFile {
    /// File name without its extension.
    pub name: String,
    /// Text of the comment on the first line.
    pub description: String,
    /// Source of the scenario.
    pub text: String,
}

/// Reads the scenarios of a property, ordered by file name.
///
/// # Errors
///
/// Fails when the property is unknown or has no scenario, or when a file cannot be read, has no
/// description or does not compile.
pub fn read_all(property: &str) -> Result<Vec<ScenarioFile>, String> {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("scenarios")
        .join(property);
    let entries =
        fs::read_dir(&folder).map_err(|error| format!("unknown property {property}: {error}"))?;
    let paths = entries.filter_map(Result::ok).map(|entry| entry.path());
    let mut paths: Vec<_> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "rhai")
        })
        .collect();
    paths.sort();
    if paths.is_empty() {
        return Err(format!("property {property} has no scenarios"));
    }
    paths.iter().map(|path| read(path)).collect()
}

fn read(path: &path::Path) -> Result<ScenarioFile, String> {
    let file_error = |problem: &dyn std::fmt::Display| format!("{}: {problem}", path.display());
    let text = fs::read_to_string(path).map_err(|error| file_error(&error))?;
    let first = text.lines().next().unwrap_or_default();
    let Some(description) = first.strip_prefix("// ") else {
        return Err(file_error(
            &"the first line is not a comment that describes the scenario",
        ));
    };
    rhai::Engine::new()
        .compile(&text)
        .map_err(|error| file_error(&error))?;
    Ok(ScenarioFile {
        name: path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned(),
        description: description.to_owned(),
        text,
    })
}
