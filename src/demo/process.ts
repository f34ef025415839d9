/**
 * The demo's processes: starts them, reads what they print, and ends them.
 * @module
 */
import * as child from "node:child_process";
import * as readline from "node:readline";
import * as url from "node:url";

const here = (path: string): string => url.fileURLToPath(new URL(path, import.meta.url));
const CLI = here("../cli/main.js");
const STAND_IN = here("../standin/main.js");

/** A process of the demo. */
export interface Running {
  readonly name: string;
  /** What it said of its addresses. */
  readonly addresses: readonly string[];
  readonly signal: (signal: NodeJS.Signals) => void;
  /** Its exit code, once it ended; null for a signal. */
  readonly ended: Promise<number | null>;
}

const started: { readonly proc: child.ChildProcess; readonly ended: Promise<number | null> }[] = [];

function spawn(name: string, file: string, args: readonly string[], env: NodeJS.ProcessEnv) {
  const proc = child.spawn(process.execPath, [file, ...args], {
    env: { ...process.env, ...env },
    stdio: ["ignore", "pipe", "pipe"],
  });
  const ended = new Promise<number | null>((resolve) => {
    proc.once("exit", resolve);
  });
  started.push({ proc, ended });
  const running = (addresses: readonly string[]): Running => ({
    name,
    addresses,
    ended,
    signal: (signal) => {
      proc.kill(signal);
    },
  });
  return { proc, ended, running };
}

/** Starts a stand-in and waits for its address. */
export async function standIn(kind: string, given: object): Promise<Running> {
  const { proc, running } = spawn(kind, STAND_IN, [kind, JSON.stringify(given)], {});
  proc.stderr.pipe(process.stderr);
  for await (const line of readline.createInterface({ input: proc.stdout })) {
    const at = JSON.parse(line) as { address: string };
    return running([at.address]);
  }
  throw new Error(`the stand-in ${kind} ended early`);
}

/** Starts a daemon and waits until it says where it listens. */
export async function daemon(
  role: "entry" | "endpoint",
  name: string,
  env: NodeJS.ProcessEnv,
): Promise<Running> {
  const all = { ...env, SUMACFIELD_NAME: name, SUMACFIELD_LOG_FORMAT: "json" };
  const { proc, running } = spawn(name, CLI, [role], all);
  const lines = readline.createInterface({ input: proc.stderr });
  const addresses = await new Promise<readonly string[]>((resolve, reject) => {
    proc.once("exit", () => {
      reject(new Error(`${name} ended early`));
    });
    lines.on("line", (line) => {
      const found = line.includes("Listening") ? line.match(/127\.0\.0\.1:\d+/g) : null;
      if (found) resolve(found);
      if (line.includes('"level":"error"')) process.stderr.write(`${line}\n`);
      if (!line.startsWith("{")) process.stderr.write(`${name}: ${line}\n`);
    });
  });
  return running(addresses);
}

/** Runs one command to its end. */
export async function command(
  args: readonly string[],
  env: NodeJS.ProcessEnv,
): Promise<{ readonly code: number | null; readonly text: string }> {
  const { proc, ended } = spawn(`sumacfield ${args[0] ?? ""}`, CLI, args, env);
  let text = "";
  proc.stdout.on("data", (part: Buffer) => {
    text += part.toString();
  });
  proc.stderr.on("data", (part: Buffer) => {
    text += part.toString();
  });
  const code = await ended;
  return { code, text };
}

/** Ends everything that was started and is still there. */
export async function endAll(): Promise<void> {
  for (const { proc } of started) if (proc.exitCode === null) proc.kill("SIGKILL");
  await Promise.all(started.map((s) => s.ended));
}
