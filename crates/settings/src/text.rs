//! Replaces comments in settings files without moving other text.

use std::io::Read;

use json_comments::CommentSettings;

use crate::error::SettingsIssue;

/// Replaces each comment with spaces and keeps newlines, so that positions in errors stay valid.
pub fn replace_comments(original: &str) -> Result<String, SettingsIssue> {
    let mut bytes = Vec::with_capacity(original.len());
    let mut stripper = CommentSettings::c_style().strip_comments(original.as_bytes());
    if stripper.read_to_end(&mut bytes).is_err() {
        return Err(comment_issue(original));
    }
    restore_newlines(original, &mut bytes);
    Ok(String::from_utf8(bytes).unwrap_or_default())
}

/// Restores the newlines inside block comments, which `json_comments` replaces with spaces.
fn restore_newlines(original: &str, bytes: &mut [u8]) {
    for (before, after) in original.bytes().zip(bytes) {
        if before == b'\n' {
            *after = b'\n';
        }
    }
}

/// Returns the line and the column of a byte offset, both from 1.
pub fn position_at(text: &str, offset: usize) -> (usize, usize) {
    let newlines = text[..offset].match_indices('\n');
    newlines.fold((1, offset + 1), |(line, _), (newline, _)| {
        (line + 1, offset - newline)
    })
}

fn comment_issue(original: &str) -> SettingsIssue {
    let (line, column) = position_at(original, comment_error_offset(original));
    SettingsIssue {
        line,
        column,
        field: String::new(),
        found: "an unfinished string or comment".to_owned(),
        expected: "a closed string, `/* … */` or `// …`".to_owned(),
    }
}

/// Returns the offset at which `json_comments` fails; its errors contain no offset.
fn comment_error_offset(original: &str) -> usize {
    let mut stripper = CommentSettings::c_style().strip_comments(original.as_bytes());
    let mut byte = [0];
    let mut offset = 0;
    while matches!(stripper.read(&mut byte), Ok(1)) {
        offset += 1;
    }
    offset.min(original.len())
}
