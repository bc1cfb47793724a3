//! Command line options and arguments.

use std::path;

use bpaf::{Parser, construct, long, positional};

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum TableCommand {
    /// Checks tables.
    Check {
        /// Files with the texts of parts.
        parts: Vec<path::PathBuf>,
        /// Files with the texts of heads.
        heads: Vec<path::PathBuf>,
    },
    /// Compares two tables.
    Diff {
        /// Files with the texts of parts.
        parts: Vec<path::PathBuf>,
        /// File with the text of the old head.
        old: path::PathBuf,
        /// File with the text of the new head.
        new: path::PathBuf,
    },
    /// Explains which row applies.
    Explain {
        /// Files with the texts of parts.
        parts: Vec<path::PathBuf>,
        /// Row to look up.
        query: RowQuery,
        /// File with the text of the head.
        head: path::PathBuf,
    },
    /// Prints the platform keys of parts.
    Key {
        /// Files with the texts of parts.
        parts: Vec<path::PathBuf>,
    },
}

/// Row that `explain` looks up.
#[derive(Clone, Debug)]
pub enum RowQuery {
    /// The class row that applies to a request.
    Request {
        /// Method of the request.
        method: String,
        /// Path of the request.
        path: String,
    },
    /// The row of the backend server with this name.
    Backend(String),
}

/// Parses the arguments of the process; exits after `--help`, `--version` and invalid arguments.
pub fn parse() -> TableCommand {
    let check = check_command();
    let diff = diff_command();
    let explain = explain_command();
    let key = key_command();
    construct!([check, diff, explain, key])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Checks, compares and explains published tables before and after they are published")
        .footer(
            "A table is the text of `table/head`: JSON with comments. Its revision is taken to \
             be one above `based_on`. Exit status: 0 on success, 1 when a file cannot be read or \
             no row matches, 2 when a table has errors.",
        )
        .run()
}

fn check_command() -> impl Parser<TableCommand> {
    let parts = part_files();
    let heads = positional::<path::PathBuf>("FILE")
        .help("Tables to check")
        .some("name at least one file");
    construct!(TableCommand::Check { parts, heads })
        .to_options()
        .descr("Checks tables and prints every error with its row, column and line")
        .command("check")
}

fn diff_command() -> impl Parser<TableCommand> {
    let parts = part_files();
    let old = positional::<path::PathBuf>("OLD").help("Table before the change");
    let new = positional::<path::PathBuf>("NEW").help("Table after the change");
    construct!(TableCommand::Diff { parts, old, new })
        .to_options()
        .descr("Prints rows that were added or removed and every cell that changed")
        .command("diff")
}

fn explain_command() -> impl Parser<TableCommand> {
    let parts = part_files();
    let query = row_query();
    let head = positional::<path::PathBuf>("FILE").help("Table to explain");
    construct!(TableCommand::Explain { parts, query, head })
        .to_options()
        .descr("Prints which row decides, with every value and where it comes from")
        .command("explain")
}

fn key_command() -> impl Parser<TableCommand> {
    let parts = positional::<path::PathBuf>("FILE")
        .help("Parts to name")
        .some("name at least one file");
    construct!(TableCommand::Key { parts })
        .to_options()
        .descr("Prints the platform key under which a part is to be stored")
        .command("key")
}

fn row_query() -> impl Parser<RowQuery> {
    let method = long("method")
        .help("Method of a request, for example GET")
        .argument::<String>("METHOD");
    let path = long("path")
        .help("Path of a request, for example /policies/7")
        .argument::<String>("PATH");
    let request = construct!(RowQuery::Request { method, path });
    let backend = long("backend")
        .help("Name of a backend server")
        .argument::<String>("NAME")
        .map(RowQuery::Backend);
    construct!([request, backend])
}

fn part_files() -> impl Parser<Vec<path::PathBuf>> {
    long("part")
        .help("Part that a table names; may be given several times")
        .argument::<path::PathBuf>("FILE")
        .many()
}
