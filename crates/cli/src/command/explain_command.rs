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

/// Print the log lines of entries about one request, in order of time.
///
/// The lines about the engines to which it was sent are included, from two seconds before the
/// request arrived until it ended.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainCommand {
    /// identifier of the request
    #[argh(positional)]
    request: String,

    /// log files of entries; standard input if omitted
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// The time before the arrival of a request from which the lines about its engines are printed, in
/// milliseconds.
///
/// An engine is avoided for at least 2 s after it was found dead, so such a line explains why the
/// request was routed around it.
const ENGINE_CONTEXT_MS: u64 = 2_000;

impl ExplainCommand {
    pub(crate) fn run(&self, is_json: bool) -> Result<ExitStatus, CliError> {
        let lines = self.read_all()?;
        let request_lines: Vec<&LogLine> = lines
            .iter()
            .filter(|line| line.request() == Some(self.request.as_str()))
            .collect();
        let Some(first_ms) = request_lines
            .iter()
            .map(|line| line.request_start_ms())
            .min()
        else {
            eprintln!(
                "dandelionctl: no log line about request {}; check the identifier and the files",
                self.request
            );
            return Ok(ExitStatus::NotFound);
        };
        let last_ms = request_lines
            .iter()
            .map(|line| line.timestamp)
            .max()
            .unwrap_or(0);
        let engines: Vec<&str> = request_lines
            .iter()
            .flat_map(|line| line.engines())
            .collect();
        let is_shown = |line: &&LogLine| {
            let is_in_window =
                line.timestamp + ENGINE_CONTEXT_MS >= first_ms && line.timestamp <= last_ms;
            let has_engine = line
                .engine()
                .is_some_and(|engine| engines.contains(&engine));
            line.request() == Some(self.request.as_str()) || is_in_window && has_engine
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

/// Reads the log lines of one source and skips all other lines.
fn read_lines(source: &str, reader: impl BufRead) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for line in reader.lines() {
        let line = line.context(FileSnafu { path: source })?;
        lines.extend(LogLine::parse(source, &line));
    }
    Ok(lines)
}
