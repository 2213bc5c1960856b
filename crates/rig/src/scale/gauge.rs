//! Resource use of processes and threads and datagram counts, read from the kernel only, independently of the code
//! under measurement.

use std::fs;
use std::path::{Path, PathBuf};

use rustix::process::{getrlimit, Resource};

use super::day::Machine;

/// Ticks per second of processor time in `/proc`; the value is 100 on every Linux.
const TICKS: f64 = 100.0;

/// Resource use of a process or a thread so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResourceUse {
    /// Processor time in seconds.
    pub processor_s: f64,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Start time, in ticks since the machine booted.
    pub started: u64,
}

/// Parses `/proc/N/stat`. The name, in parentheses, may contain any characters.
pub fn read_stat(line: &str, page: u64) -> Option<ResourceUse> {
    let fields: Vec<&str> = line.rsplit_once(')')?.1.split_whitespace().collect();
    let number = |at: usize| fields.get(at - 3)?.parse::<u64>().ok();
    let processor_s = (number(14)? + number(15)?) as f64 / TICKS;
    Some(ResourceUse { processor_s, resident: number(24)? * page, started: number(22)? })
}

fn read_use(path: &str) -> Option<ResourceUse> {
    read_stat(&fs::read_to_string(path).ok()?, rustix::param::page_size() as u64)
}

/// `None` if there is no such process.
pub fn of_process(id: u32) -> Option<ResourceUse> {
    read_use(&format!("/proc/{id}/stat"))
}

/// Resource use of a thread of this process.
pub fn of_thread(id: i32) -> Option<ResourceUse> {
    read_use(&format!("/proc/self/task/{id}/stat"))
}

/// Resource use of this process.
pub fn of_self() -> ResourceUse {
    read_use("/proc/self/stat").unwrap_or_default()
}

/// UDP datagrams sent by all processes of this machine.
pub fn datagrams() -> u64 {
    let text = fs::read_to_string("/proc/net/snmp").unwrap_or_default();
    let mut lines = text.lines().filter_map(|line| line.strip_prefix("Udp: "));
    let (Some(names), Some(values)) = (lines.next(), lines.next()) else { return 0 };
    let mut both = names.split_whitespace().zip(values.split_whitespace());
    both.find(|(name, _)| *name == "OutDatagrams").and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// The one-minute load average.
pub fn load() -> f64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|first| first.parse().ok()).unwrap_or(0.0)
}

/// Threads that are running or runnable at this moment.
pub fn runnable() -> u64 {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let field = text.split_whitespace().nth(3).and_then(|field| field.split_once('/'));
    field.and_then(|(running, _)| running.parse().ok()).unwrap_or(0)
}

fn meminfo(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// The magic number of tmpfs, as `statfs` reports it.
const TMPFS_MAGIC: u64 = 0x0102_1994;

/// Used bytes of the file system that holds a folder.
pub fn used_bytes(folder: &Path) -> u64 {
    rustix::fs::statvfs(folder).map_or(0, |of| (of.f_blocks - of.f_bfree) * of.f_frsize)
}

/// The default parent of the couriers' folders: an in-memory file system if there is one. Otherwise 1,300 couriers
/// would wait for one disk, while in production each has its own.
pub fn folder() -> PathBuf {
    let shared = Path::new("/dev/shm");
    let usable = rustix::fs::access(shared, rustix::fs::Access::WRITE_OK).is_ok();
    if usable {
        shared.to_path_buf()
    } else {
        std::env::temp_dir()
    }
}

/// The resources of this machine, with the disk that holds `folder`.
pub fn machine(folder: &Path) -> Machine {
    let disk = rustix::fs::statvfs(folder).map_or(0, |of| of.f_bavail * of.f_frsize);
    let disk_in_memory = rustix::fs::statfs(folder).is_ok_and(|of| of.f_type as u64 == TMPFS_MAGIC);
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    Machine { memory: meminfo("MemTotal"), disk, disk_in_memory, descriptors }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stat_line_is_parsed_with_any_process_name() {
        let rest = "S 1 2 3 0 -1 4 5 6 7 8 150 50 0 0 20 0 65 0 9000 1000000 300 18446744073709551615";
        let taken = ResourceUse { processor_s: 2.0, resident: 300 * 4096, started: 9000 };
        for name in ["meadowhold", "a) S 9 (b", ""] {
            assert_eq!(read_stat(&format!("77 ({name}) {rest}"), 4096), Some(taken), "{name}");
        }
        assert_eq!(read_stat("77 (cut) S 1 2", 4096), None);
        assert_eq!(read_stat("nonsense", 4096), None);
    }

    #[test]
    fn resource_use_is_read_for_existing_processes_only() {
        let own = of_process(std::process::id()).unwrap();
        assert!(own.resident > 0 && own.started > 0, "{own:?}");
        assert_eq!(of_process(u32::MAX), None);
        let machine = machine(Path::new("/"));
        assert!(machine.memory > 0 && machine.disk > 0 && machine.descriptors > 0, "{machine:?}");
    }
}
