//! What can go wrong in the lab.
use std::io;
use std::path::PathBuf;

/// An error of the lab.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or folder of the output cannot be written.
    #[error("{}: {source}", path.display())]
    Output {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A result cannot be serialized.
    #[error("a result cannot be written as JSON: {0}")]
    Serialize(#[from] serde_json::Error),
    /// A worker thread has panicked while it wrote a result: its message says at which seed.
    #[error("a run has panicked while it wrote its result")]
    Poisoned,
    /// A plot cannot be drawn.
    #[error("the plot of {figure} cannot be drawn: {reason}")]
    Plot {
        /// The figure.
        figure: String,
        /// What the plotting library says.
        reason: String,
    },
    /// The report's template is wrong.
    #[error("the report cannot be rendered: {0}")]
    Template(#[from] minijinja::Error),
}
