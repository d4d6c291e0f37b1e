use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;

use argh::FromArgs;
use snafu::ResultExt;

use crate::cli_error::CliError;
use crate::cli_error::FileSnafu;
use crate::exit_status::ExitStatus;
use crate::log_line::LogLine;
use crate::output::print_json;

/// Print what the logs of entries say of one request, in order of time.
///
/// Besides the lines with its identifier, the lines about the engines it was sent to are printed, from
/// two seconds before its first line on.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// identifier of the request
    #[argh(positional)]
    request: String,

    /// files with the logs of entries; standard input if none is named
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// How long before the first line of a request the lines about its engines are printed, in
/// milliseconds.
///
/// An engine is avoided for two seconds and more after it was found dead.
const BEFORE_MS: u64 = 2_000;

impl ExplainCommand {
    /// Runs the command.
    pub(crate) fn run(&self, is_json: bool) -> Result<ExitStatus, CliError> {
        let lines = self.read_all()?;
        let own: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.request() == Some(self.request.as_str()))
            .collect();
        let Some(first_ms) = own.iter().map(|line| line.begun_ms()).min() else {
            eprintln!("dandelionctl: no line about {}", self.request);
            return Ok(ExitStatus::NotFound);
        };
        let last_ms = own.iter().map(|line| line.timestamp).max().unwrap_or(0);
        let engines: Vec<&str> = own.iter().flat_map(|line| line.engines()).collect();
        let is_shown = |line: &&LogLine| {
            let is_near = line.timestamp + BEFORE_MS >= first_ms && line.timestamp <= last_ms;
            let is_engine = line
                .engine()
                .is_some_and(|engine| engines.contains(&engine));
            line.request() == Some(self.request.as_str()) || is_near && is_engine
        };
        let mut shown: Vec<&LogLine> = lines.iter().filter(is_shown).collect();
        shown.sort_by_key(|line| line.timestamp);
        for line in shown {
            match is_json {
                true => print_json(&line.document),
                false => println!("{line}"),
            }
        }
        Ok(ExitStatus::Done)
    }

    fn read_all(&self) -> Result<Vec<LogLine>, CliError> {
        if self.files.is_empty() {
            return read_lines("standard input", std::io::stdin().lock());
        }
        let mut lines = Vec::new();
        for path in &self.files {
            let name = path.display().to_string();
            let file = File::open(path).context(FileSnafu { path: &name })?;
            lines.extend(read_lines(&name, BufReader::new(file))?);
        }
        Ok(lines)
    }
}

/// Reads the log lines of one source; what is no log line is left out.
fn read_lines(source: &str, reader: impl BufRead) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for line in reader.lines() {
        let line = line.context(FileSnafu { path: source })?;
        lines.extend(LogLine::parse(source, &line));
    }
    Ok(lines)
}
