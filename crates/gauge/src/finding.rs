//! What is said of a configuration.

use derive_more::Display;
use trackbed::logs::escape;

#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Level {
    #[display("fault")]
    Fault,
    #[display("warning")]
    Warning,
}

#[derive(Clone, Debug, Display)]
#[display("{level} {place}: {message}: {remedy}")]
pub struct Finding {
    pub level: Level,
    /// Where in the file, as a pointer.
    pub place: String,
    pub message: String,
    pub remedy: String,
}

impl Finding {
    fn new(level: Level, place: &str, message: &str, remedy: &str) -> Self {
        Self { level, place: place.to_owned(), message: message.to_owned(), remedy: remedy.to_owned() }
    }

    pub fn fault(place: &str, message: &str, remedy: &str) -> Self {
        Self::new(Level::Fault, place, message, remedy)
    }

    pub fn warning(place: &str, message: &str, remedy: &str) -> Self {
        Self::new(Level::Warning, place, message, remedy)
    }

    pub fn to_json(&self) -> String {
        format!(
            "{{\"level\":\"{}\",\"place\":\"{}\",\"message\":\"{}\",\"remedy\":\"{}\"}}",
            self.level,
            escape(&self.place),
            escape(&self.message),
            escape(&self.remedy)
        )
    }
}
