//! Child processes of a fleet and their log files.

use std::env;
use std::fs;
use std::path;
use std::process;

use error_stack::ResultExt;
use rustix::process as rustix_process;

use crate::daemon;

/// Signal for a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "SCREAMING_SNAKE_CASE")]
pub enum FleetSignal {
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Term,
    /// SIGSTOP.
    Stop,
    /// SIGCONT.
    Cont,
}

/// Child process of a fleet, which is killed on drop.
pub struct ChildProcess {
    name: String,
    child: process::Child,
}

impl ChildProcess {
    /// Starts a binary with its arguments; its output goes to `NAME.log` in the folder.
    pub fn start(
        binary: &path::Path,
        arguments: &[String],
        name: &str,
        folder: &path::Path,
    ) -> daemon::BenchResult<Self> {
        let step = || daemon::step_error(format!("start {name} from {}", binary.display()));
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))
            .change_context_lazy(step)?;
        let output = log.try_clone().change_context_lazy(step)?;
        let child = process::Command::new(binary)
            .args(arguments)
            .stdin(process::Stdio::null())
            .stdout(output)
            .stderr(log)
            .spawn()
            .change_context_lazy(step)?;
        Ok(Self {
            name: name.to_owned(),
            child,
        })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: FleetSignal) -> daemon::BenchResult<()> {
        let number = match signal {
            FleetSignal::Kill => rustix_process::Signal::KILL,
            FleetSignal::Term => rustix_process::Signal::TERM,
            FleetSignal::Stop => rustix_process::Signal::STOP,
            FleetSignal::Cont => rustix_process::Signal::CONT,
        };
        rustix_process::kill_process(rustix_process::Pid::from_child(&self.child), number)
            .change_context_lazy(|| daemon::step_error(format!("send {signal} to {}", self.name)))
    }

    /// Returns the exit status if the process has exited.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Returns an error if the process has exited.
    pub fn check_running(&mut self) -> daemon::BenchResult<()> {
        match self.exit_status() {
            None => Ok(()),
            Some(status) => {
                Err(daemon::step_error(format!("{} exited: {status}", self.name)).into())
            }
        }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds a binary next to the current executable, in its parent folder or in `target/release`.
pub fn find_binary(name: &str) -> daemon::BenchResult<path::PathBuf> {
    let executable = env::current_exe().unwrap_or_default();
    let folders = executable.ancestors().skip(1).take(2);
    let release = path::Path::new("target/release");
    folders
        .chain([release])
        .map(|folder| folder.join(name))
        .find(|file| file.is_file())
        .ok_or_else(|| daemon::step_error(format!("find the binary {name}; build it first")).into())
}
