//! Errors of the lab.
use std::io;
use std::path::PathBuf;

/// An error of the lab.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or folder of the output cannot be written.
    #[error("{} cannot be written: {source}", path.display())]
    Output {
        /// The file or folder.
        path: PathBuf,
        /// The reason.
        source: io::Error,
    },
    /// A result cannot be serialized.
    #[error("a result cannot be serialized as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// A worker thread panicked while it wrote a result.
    #[error("a worker thread panicked while it wrote a result; see the panic message above")]
    Poisoned,
    /// A plot cannot be drawn.
    #[error("the plot of {figure} cannot be drawn: {reason}")]
    Plot {
        /// Name of the figure.
        figure: String,
        /// Error message of the plotting library.
        reason: String,
    },
    /// The report's template is invalid or cannot be rendered.
    #[error("the report cannot be rendered: {0}")]
    Template(#[from] minijinja::Error),
}
