/**
 * Watches the memory of a process and ends it when it passes a limit; runs as a thread of its own, since the table of sockets is
 * long while many are open.
 * @module
 */
import * as fs from "node:fs";
import * as threads from "node:worker_threads";

/** What is watched. */
export interface Watched {
  readonly pid: number;
  /** Ports whose unread bytes count as the process's memory. */
  readonly ports: readonly number[];
  readonly limitMb: number;
}

/** What was seen at one time, in MB. */
export interface Seen {
  readonly residentMb: number;
  readonly unreadMb: number;
}

const BYTES_PER_MB = 1_048_576;
const KB_PER_MB = 1024;
/** Milliseconds between two looks. */
const LOOK_MS = 50;
/** State of an open connection in the table of sockets. */
const ESTABLISHED = "01";

/** Bytes that have arrived at these ports of 127.0.0.1 and were not read. */
function unreadBytes(ports: ReadonlySet<string>): number {
  let sum = 0;
  for (const row of fs.readFileSync("/proc/net/tcp", "latin1").split("\n").slice(1)) {
    const [, local = "", , state, queues = ""] = row.trim().split(/\s+/);
    if (state !== ESTABLISHED || !ports.has(local.split(":")[1] ?? "")) continue;
    sum += parseInt(queues.split(":")[1] ?? "0", 16);
  }
  return sum;
}

function residentMb(pid: number): number {
  try {
    const status = fs.readFileSync(`/proc/${pid}/status`, "latin1");
    return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}

const { pid, ports, limitMb } = threads.workerData as Watched;
const hexPorts = new Set(ports.map((p) => p.toString(16).toUpperCase().padStart(4, "0")));
setInterval(() => {
  const seen: Seen = {
    residentMb: residentMb(pid),
    unreadMb: unreadBytes(hexPorts) / BYTES_PER_MB,
  };
  if (seen.residentMb + seen.unreadMb > limitMb) process.kill(pid, "SIGKILL");
  threads.parentPort?.postMessage(seen);
}, LOOK_MS);
