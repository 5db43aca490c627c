use std::fs;

/// The most tests that may be listed.
const MAX_KNOWN_RED: usize = 5;

/// A test that fails because of a known fault that is not fixed yet.
pub(crate) struct KnownRed {
    /// Cargo package that contains the test.
    package: String,
    /// Name of the integration test binary.
    binary: String,
    /// Full path of the test within the binary.
    pub(crate) test: String,
    /// The fault, and the open issue.
    pub(crate) cause: String,
}

impl KnownRed {
    /// Reads the tests listed in `KNOWN-RED.txt`, one per line: `PACKAGE BINARY TEST | cause,
    /// issue`.
    pub(crate) fn read() -> Result<Vec<Self>, String> {
        let text = fs::read_to_string("KNOWN-RED.txt").map_err(|error| error.to_string())?;
        let lines = text.lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let known: Vec<Self> = lines.map(Self::from_line).collect::<Result<_, _>>()?;
        if known.len() > MAX_KNOWN_RED {
            return Err(format!(
                "{} tests are listed; at most {MAX_KNOWN_RED} may be",
                known.len()
            ));
        }
        Ok(known)
    }

    fn from_line(line: &str) -> Result<Self, String> {
        let wrong = || format!("'{line}' is not 'PACKAGE BINARY TEST | cause, issue'");
        let (location, cause) = line.split_once('|').ok_or_else(wrong)?;
        let words: Vec<&str> = location.split_whitespace().collect();
        let [package, binary, test] = words[..] else {
            return Err(wrong());
        };
        Ok(Self {
            package: package.to_owned(),
            binary: binary.to_owned(),
            test: test.to_owned(),
            cause: cause.trim().to_owned(),
        })
    }

    /// Returns the arguments with which Cargo runs only this test.
    pub(crate) fn arguments(&self) -> Vec<&str> {
        let package = self.package.as_str();
        let (binary, test) = (self.binary.as_str(), self.test.as_str());
        vec![
            "test", "--locked", "-p", package, "--test", binary, "--", "--exact", test,
        ]
    }
}
