//! What can go wrong with a soak before it starts.

use derive_more::{Display, Error};

/// Why a soak did not run.
#[derive(Debug, Display, Error)]
pub enum SoakError {
    /// An option of the command line can't be used.
    #[display("--{option} is wrong: give {wanted}")]
    Option {
        /// The option's long name.
        option: &'static str,
        /// What may stand there.
        wanted: &'static str,
    },
    /// A file, a folder or a process failed.
    #[display("{place}: {reason}")]
    Io {
        /// What was being used.
        place: String,
        /// What the system said.
        reason: String,
    },
    /// The system was not ready in time.
    #[display("the system was not ready after {seconds} s: look at the logs in {logs}")]
    NotReady {
        /// How long was waited.
        seconds: u64,
        /// The folder of the run.
        logs: String,
    },
}

impl SoakError {
    /// A failure of the system's at a place.
    pub fn io(place: impl std::fmt::Display, error: &std::io::Error) -> Self {
        Self::Io { place: place.to_string(), reason: error.to_string() }
    }
}
