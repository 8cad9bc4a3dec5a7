//! The parsers, each with examples of what it reads.

mod calls;
mod disk;
mod documents;
mod requests;
mod wire;

type Read = Box<dyn FnMut(&[u8])>;

/// One parser, or one state machine behind a parser.
pub struct Target {
    name: &'static str,
    reads_json: bool,
    examples: Vec<Vec<u8>>,
    read: Read,
}

impl Target {
    fn new(name: &'static str, examples: Vec<Vec<u8>>, read: impl FnMut(&[u8]) + 'static) -> Self {
        Self { name, reads_json: false, examples, read: Box::new(read) }
    }

    fn of_json(name: &'static str, examples: &[&str], read: impl FnMut(&[u8]) + 'static) -> Self {
        let examples = examples.iter().map(|text| text.as_bytes().to_vec()).collect();
        Self { reads_json: true, ..Self::new(name, examples, read) }
    }

    /// The name by which it is chosen.
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// Whether it reads JSON texts.
    pub fn reads_json(&self) -> bool {
        self.reads_json
    }

    /// Inputs that it reads. There is one at least.
    pub fn examples(&self) -> &[Vec<u8>] {
        &self.examples
    }

    /// Gives it an input. It may refuse it, and must not panic.
    pub fn read(&mut self, input: &[u8]) {
        (self.read)(input);
    }
}

/// Every target.
pub fn all() -> Vec<Target> {
    let mut targets = documents::targets();
    targets.extend(wire::targets());
    targets.extend(disk::targets());
    targets.push(calls::target());
    targets.push(requests::target());
    targets
}
